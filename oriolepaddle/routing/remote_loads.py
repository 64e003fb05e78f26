"""What is known of the other data centres' load."""

import math
from collections.abc import Callable, Iterable

import attrs

from oriolepaddle.routing.load_summary import LoadSummary
from oriolepaddle.routing.routing_request import RoutingRequest
from oriolepaddle.routing.score import Score

__all__ = ["RemoteLoads"]

MAX_AGE_S = 10.0
"""A data centre whose summary is older may be cut off."""
HOME_CACHED_PART = 0.5
"""Part of a prompt that is expected cached in its home data centre."""


@attrs.define
class _Remote:
    summary: LoadSummary
    made_s: float
    sent: int = 0


class RemoteLoads:
    """Summaries of other data centres, and what was sent there since.

    Args:
        delay_s: Returns the one-way delay to a data centre, in seconds.
    """

    def __init__(self, delay_s: Callable[[str], float]) -> None:
        self._delay_s = delay_s
        self._remotes: dict[tuple[str, str], _Remote] = {}

    def apply(self, summaries: Iterable[LoadSummary], now_s: float) -> None:
        """Take in summaries; one older than what is held is dropped."""
        for summary in summaries:
            name = (summary.route, summary.data_centre)
            made_s = now_s - summary.age_s
            held = self._remotes.get(name)
            if held is None or made_s > held.made_s:
                self._remotes[name] = _Remote(summary, made_s)

    def data_centres(self, route: str, now_s: float) -> dict[str, float]:
        """Return the data centres with a fresh summary of a route.

        Returns:
            Their capacities, in requests a second.
        """
        return {
            data_centre: held.summary.requests_per_s
            for (held_route, data_centre), held in self._remotes.items()
            if held_route == route and now_s - held.made_s <= MAX_AGE_S
        }

    def score(
        self, data_centre: str, request: RoutingRequest, senders: int, is_home: bool
    ) -> Score | None:
        """Return the score of a data centre, or None if none can run it.

        Args:
            data_centre: One of `data_centres`.
            request: The request.
            senders: Instances that are expected to send there alike.
            is_home: Whether all send this document there.
        """
        held = self._remotes[(request.route.id, data_centre)]
        summary = held.summary
        if summary.requests_per_s <= 0 or not math.isfinite(summary.queueing_s):
            return None
        excess = max(0.0, held.sent * senders + 1 - summary.free_slots)
        queueing_s = summary.queueing_s + excess / summary.requests_per_s
        # Nothing is known of a remote prefix cache but that senders agree.
        cached_tokens = HOME_CACHED_PART * request.prompt_tokens if is_home else 0.0
        missing_tokens = request.prompt_tokens - cached_tokens
        prefill_s = missing_tokens / summary.prefill_tokens_per_s
        delay_s = 2 * self._delay_s(data_centre)
        return Score(
            target=data_centre,
            queueing_s=queueing_s,
            prefill_s=prefill_s,
            cached_tokens=cached_tokens,
            delay_s=delay_s,
            total_s=queueing_s + prefill_s + delay_s,
        )

    def count_sent(self, route: str, data_centre: str) -> None:
        """Note that a request was sent there since its last summary."""
        self._remotes[(route, data_centre)].sent += 1
