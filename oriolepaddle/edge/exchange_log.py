"""Log events of one request."""

from oriolepaddle.edge.admission import AdmittedRequest
from oriolepaddle.edge.context import EdgeContext
from oriolepaddle.edge.progress import ExchangeProgress
from oriolepaddle.edge.request import EdgeRequest
from oriolepaddle.logs import log_event

__all__ = ["ExchangeLog"]

MAX_LOGGED_PARTS = 8


class ExchangeLog:
    """Writes log events of a request with the state of its handling.

    Args:
        context: Provides the clock and the catalog.
        request: The request.
        progress: The attempts of the request.
    """

    def __init__(
        self, context: EdgeContext, request: EdgeRequest, progress: ExchangeProgress
    ) -> None:
        self._context = context
        self._request = request
        self._progress = progress

    def write(
        self, event: str, admitted: AdmittedRequest | None, **fields: object
    ) -> None:
        """Write an event.

        Args:
            event: The name of the event.
            admitted: The admitted request, or None if it was not admitted.
            fields: Fields of this event in addition to the common ones.
        """
        progress = self._progress
        catalog = self._context.catalog
        organisation = admitted.organisation if admitted else None
        log_event(
            event,
            request_id=self._request.id,
            route=admitted.route.name if admitted else None,
            organisation=organisation.id if organisation else None,
            version=admitted.version if admitted else catalog.version,
            knowledge_age_s=round(catalog.age_s(), 3),
            target=progress.placed.target,
            tries=progress.attempts,
            hops=len(self._request.hops),
            expected_s=round(progress.placed.expected_s, 3),
            prefix_source=progress.placed.prefix_source,
            shared_parts=[
                part.id for part in self._request.shared_parts[:MAX_LOGGED_PARTS]
            ],
            first_byte_s=self._round_elapsed(progress.first_byte_s),
            elapsed_s=self._round_elapsed(self._context.clock.monotonic_s()),
            **_describe_work(progress),
            **fields,
        )

    def _round_elapsed(self, at_s: float | None) -> float | None:
        if at_s is None:
            return None
        return round(at_s - self._request.arrived_s, 3)


def _describe_work(progress: ExchangeProgress) -> dict[str, float | None]:
    """Return the basis of the expected time, for endpoints that report their pace."""
    work = progress.placed.work
    if work is None:
        return {}
    return {
        "cost_s": _round(work.cost_s),
        "remaining_s": _round(work.remaining_s),
        "pace": _round(work.pace),
        "pace_factor": _round(work.factor),
        "pace_age_s": _round(work.pace_age_s),
    }


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 3)
