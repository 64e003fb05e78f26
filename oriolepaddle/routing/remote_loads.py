"""The load of the other data centres."""

import math
from collections.abc import Callable, Iterable

import attrs

from oriolepaddle.routing.load_summary import LoadSummary
from oriolepaddle.routing.routing_request import RoutingRequest
from oriolepaddle.routing.score import Score

__all__ = ["RemoteLoads"]

MAX_SUMMARY_AGE_S = 10.0
"""Summaries expire at this age, as the data centre may be unreachable."""
PREFERRED_CACHED_FRACTION = 0.5
"""Fraction of a prompt that is expected to be cached in its preferred data centre."""


@attrs.define
class _Remote:
    summary: LoadSummary
    created_s: float
    sent_requests: int = 0


class RemoteLoads:
    """Load summaries of other data centres and the requests sent there since.

    Args:
        delay_s: Returns the one-way delay to a data centre, in seconds.
    """

    def __init__(self, delay_s: Callable[[str], float]) -> None:
        self._delay_s = delay_s
        self._remotes: dict[tuple[str, str], _Remote] = {}

    def apply(self, summaries: Iterable[LoadSummary], now_s: float) -> None:
        """Apply summaries; one that is older than the stored one is ignored."""
        for summary in summaries:
            name = (summary.route, summary.data_centre)
            created_s = now_s - summary.age_s
            remote = self._remotes.get(name)
            if remote is None or created_s > remote.created_s:
                self._remotes[name] = _Remote(summary, created_s)

    def data_centres(self, route: str, now_s: float) -> dict[str, float]:
        """Return the data centres with an unexpired summary of a route.

        Returns:
            Their throughput, in requests per second.
        """
        return {
            data_centre: remote.summary.requests_per_s
            for (remote_route, data_centre), remote in self._remotes.items()
            if remote_route == route and now_s - remote.created_s <= MAX_SUMMARY_AGE_S
        }

    def score(
        self,
        data_centre: str,
        request: RoutingRequest,
        senders: int,
        is_preferred: bool,
    ) -> Score | None:
        """Return the score of a data centre, or None if it cannot run the request.

        Args:
            data_centre: One of `data_centres`.
            request: The request.
            senders: Number of instances that are assumed to send requests there at the
                same rate.
            is_preferred: Whether it is the preferred data centre of the document.
        """
        remote = self._remotes[(request.route.id, data_centre)]
        summary = remote.summary
        if summary.requests_per_s <= 0 or not math.isfinite(summary.queueing_s):
            return None
        excess = max(0.0, remote.sent_requests * senders + 1 - summary.free_slots)
        queueing_s = summary.queueing_s + excess / summary.requests_per_s
        # The contents of a remote prefix cache are unknown; only the preferred data
        # centre is likely to have the prefix cached, as all senders agree on it.
        cached_tokens = (
            PREFERRED_CACHED_FRACTION * request.prompt_tokens if is_preferred else 0.0
        )
        uncached_tokens = request.prompt_tokens - cached_tokens
        prefill_s = uncached_tokens / summary.prefill_tokens_per_s
        delay_s = 2 * self._delay_s(data_centre)
        return Score(
            target=data_centre,
            queueing_s=queueing_s,
            prefill_s=prefill_s,
            cached_tokens=cached_tokens,
            delay_s=delay_s,
            total_s=queueing_s + prefill_s + delay_s,
        )

    def record_sent(self, route: str, data_centre: str) -> None:
        """Record that a request was sent there since its last summary."""
        self._remotes[(route, data_centre)].sent_requests += 1
