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
class _RemoteLoad:
    summary: LoadSummary
    created_s: float
    sent_count: int = 0


class RemoteLoads:
    """Load summaries of other data centres and the requests sent there since.

    Args:
        one_way_delay_s: Returns the one-way delay to a data centre, in seconds.
    """

    def __init__(self, one_way_delay_s: Callable[[str], float]) -> None:
        self._one_way_delay_s = one_way_delay_s
        self._loads: dict[tuple[str, str], _RemoteLoad] = {}

    def apply(self, summaries: Iterable[LoadSummary], now_s: float) -> None:
        """Apply summaries; one that is older than the stored one is ignored."""
        for summary in summaries:
            key = (summary.route, summary.data_centre)
            created_s = now_s - summary.age_s
            load = self._loads.get(key)
            if load is None or created_s > load.created_s:
                self._loads[key] = _RemoteLoad(summary, created_s)

    def throughputs(self, route: str, now_s: float) -> dict[str, float]:
        """Return the maximum throughput of each data centre, in requests per second.

        Only data centres with an unexpired summary of the route are included.
        """
        return {
            data_centre: load.summary.requests_per_s
            for (remote_route, data_centre), load in self._loads.items()
            if remote_route == route and now_s - load.created_s <= MAX_SUMMARY_AGE_S
        }

    def score(
        self,
        data_centre: str,
        request: RoutingRequest,
        sender_count: int,
        is_preferred: bool,
    ) -> Score | None:
        """Return the score of a data centre, or None if it cannot run the request.

        Args:
            data_centre: One of the keys of `throughputs`.
            request: The request.
            sender_count: Number of instances that are assumed to send requests there
                at the same rate.
            is_preferred: Whether it is the preferred data centre of the prompt's
                prefix.
        """
        load = self._loads[(request.route.id, data_centre)]
        summary = load.summary
        if summary.requests_per_s <= 0 or not math.isfinite(summary.queueing_s):
            return None
        excess = max(0.0, load.sent_count * sender_count + 1 - summary.free_slots)
        queueing_s = summary.queueing_s + excess / summary.requests_per_s
        # The contents of a remote prefix cache are unknown; only the preferred data
        # centre is likely to have the prefix cached, as all senders agree on it.
        cached_tokens = (
            PREFERRED_CACHED_FRACTION * request.prompt_tokens if is_preferred else 0.0
        )
        uncached_tokens = request.prompt_tokens - cached_tokens
        prefill_s = uncached_tokens / summary.prefill_tokens_per_s
        round_trip_s = 2 * self._one_way_delay_s(data_centre)
        return Score(
            target=data_centre,
            queueing_s=queueing_s,
            prefill_s=prefill_s,
            cached_tokens=cached_tokens,
            delay_s=round_trip_s,
            total_s=queueing_s + prefill_s + round_trip_s,
        )

    def record_sent(self, route: str, data_centre: str) -> None:
        """Count a request that was sent to a data centre after its last summary."""
        self._loads[(route, data_centre)].sent_count += 1
