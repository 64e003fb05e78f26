"""The measures of one policy in one scenario over all seeds."""

from collections.abc import Callable

import attrs

from experiments.routing.measures import FIRST_TOKEN_TARGET_S, Measures
from experiments.routing.runs import Run
from experiments.simulation import Latencies

__all__ = ["Summary", "Value", "summarize"]


@attrs.frozen
class Value:
    """A measure with its spread over the seeds.

    Attributes:
        mean: Over all requests of all seeds; a quantile is that of them all.
        lowest: That of the seed with the lowest.
        highest: That of the seed with the highest.
    """

    mean: float
    lowest: float
    highest: float

    def show(self, digits: int) -> str:
        """Return the value with its spread."""
        lowest, highest = f"{self.lowest:.{digits}f}", f"{self.highest:.{digits}f}"
        return f"{self.mean:.{digits}f} ({lowest}-{highest})"


@attrs.frozen
class Summary:
    """All measures of one row of the table.

    Attributes:
        busy_s: Seconds of endpoint time for each request.
        computed_tokens: Prompt tokens computed for each request.
        p50_s: Median time to the first token.
        p95_s: Its 95th percentile.
        p99_s: Its 99th percentile.
        in_time: Part of the requests with a first token in 1.5 s.
        sent_away: Part of the requests that were sent away.
        worst_served: Part in time of the worst-served organisation.
        refused: Part of the requests that were refused or failed.
        bound_p99_s: 99th percentile of bound requests, outside the region
            that one scenario loses.
        breaches: Requests outside their region or passed on twice.
    """

    busy_s: Value
    computed_tokens: Value
    p50_s: Value
    p95_s: Value
    p99_s: Value
    in_time: Value
    sent_away: Value
    worst_served: Value
    refused: Value
    bound_p99_s: Value
    breaches: int


def summarize(
    results: dict[Run, Measures], scenario: str, policy: str, lost_region: str
) -> Summary:
    """Return the summary of all seeds of one policy in one scenario."""
    found = [
        measures
        for run, measures in results.items()
        if run.scenario == scenario and run.policy == policy
    ]
    return Summary(
        busy_s=_divide(found, lambda item: item.busy_s),
        computed_tokens=_divide(found, lambda item: item.computed_tokens),
        p50_s=_take_quantile([item.first_token_s for item in found], 50),
        p95_s=_take_quantile([item.first_token_s for item in found], 95),
        p99_s=_take_quantile([item.first_token_s for item in found], 99),
        in_time=_divide(found, _count_in_time),
        sent_away=_divide(found, lambda item: item.sent_away),
        worst_served=_average([item.worst_served for item in found]),
        refused=_divide(found, _count_refused),
        bound_p99_s=_take_quantile(
            [_list_bound(item, lost_region) for item in found], 99
        ),
        breaches=sum(item.outside_region + item.passed_twice for item in found),
    )


def _count_in_time(measures: Measures) -> int:
    return sum(item <= FIRST_TOKEN_TARGET_S for item in measures.first_token_s)


def _count_refused(measures: Measures) -> int:
    return sum(measures.refused.values()) + measures.failed


def _list_bound(measures: Measures, lost_region: str) -> list[float]:
    kept = [part for region, part in measures.bound_s.items() if region != lost_region]
    return [latency_s for part in kept for latency_s in part]


def _divide(found: list[Measures], count: Callable[[Measures], float]) -> Value:
    parts = [count(item) / item.total for item in found]
    total = sum(item.total for item in found)
    return Value(sum(map(count, found)) / total, min(parts), max(parts))


def _average(parts: list[float]) -> Value:
    return Value(sum(parts) / len(parts), min(parts), max(parts))


def _take_quantile(parts: list[list[float]], percent: float) -> Value:
    together = Latencies()
    each = []
    for samples_s in parts:
        alone = Latencies()
        alone.merge(samples_s)
        together.merge(samples_s)
        each.append(alone.quantile_s(percent))
    return Value(together.quantile_s(percent), min(each), max(each))
