"""The measures of one policy in one scenario over all seeds."""

from collections.abc import Callable

import attrs

from experiments.routing.measures import FIRST_TOKEN_TARGET_S, Measures
from experiments.routing.runs import Run
from experiments.simulation import Latencies

__all__ = ["Summary", "Value", "summarize"]


@attrs.frozen
class Value:
    """A measure with its range over the seeds.

    Attributes:
        mean: Mean or quantile over all requests of all seeds.
        lowest: The lowest value of a single seed.
        highest: The highest value of a single seed.
    """

    mean: float
    lowest: float
    highest: float

    def show(self, digits: int) -> str:
        """Format the value with its range."""
        lowest, highest = f"{self.lowest:.{digits}f}", f"{self.highest:.{digits}f}"
        return f"{self.mean:.{digits}f} ({lowest}-{highest})"


@attrs.frozen
class Summary:
    """All measures of one row of the table.

    Attributes:
        busy_s: Busy endpoint time per request, in seconds.
        computed_tokens: Prompt tokens computed per request.
        p50_s: Median time to the first token, in seconds.
        p95_s: Its 95th percentile.
        p99_s: Its 99th percentile.
        in_time: Share of the requests with a first token within 1.5 s.
        forwarded: Share of the requests that were forwarded.
        worst_served: Share in time of the worst-served organisation.
        refused: Share of the requests that were refused or failed.
        residency_p99_s: 99th percentile of requests with a residency, outside
            the region that fails in one scenario.
        violations: Requests served outside their residency or forwarded twice.
    """

    busy_s: Value
    computed_tokens: Value
    p50_s: Value
    p95_s: Value
    p99_s: Value
    in_time: Value
    forwarded: Value
    worst_served: Value
    refused: Value
    residency_p99_s: Value
    violations: int


def summarize(
    results: dict[Run, Measures], scenario: str, policy: str, failed_region: str
) -> Summary:
    """Return the summary of all seeds of one policy in one scenario."""
    runs = [
        measures
        for run, measures in results.items()
        if run.scenario == scenario and run.policy == policy
    ]
    return Summary(
        busy_s=_divide(runs, lambda item: item.busy_s),
        computed_tokens=_divide(runs, lambda item: item.computed_tokens),
        p50_s=_merge_quantiles([item.first_token_s for item in runs], 50),
        p95_s=_merge_quantiles([item.first_token_s for item in runs], 95),
        p99_s=_merge_quantiles([item.first_token_s for item in runs], 99),
        in_time=_divide(runs, _count_in_time),
        forwarded=_divide(runs, lambda item: item.forwarded),
        worst_served=_average([item.worst_served for item in runs]),
        refused=_divide(runs, _count_refused),
        residency_p99_s=_merge_quantiles(
            [_list_residency_latencies(item, failed_region) for item in runs], 99
        ),
        violations=sum(item.outside_residency + item.forwarded_twice for item in runs),
    )


def _count_in_time(measures: Measures) -> int:
    return sum(item <= FIRST_TOKEN_TARGET_S for item in measures.first_token_s)


def _count_refused(measures: Measures) -> int:
    return sum(measures.refused.values()) + measures.failed


def _list_residency_latencies(measures: Measures, failed_region: str) -> list[float]:
    samples_by_region = [
        samples_s
        for region, samples_s in measures.residency_first_token_s.items()
        if region != failed_region
    ]
    return [latency_s for samples_s in samples_by_region for latency_s in samples_s]


def _divide(runs: list[Measures], count: Callable[[Measures], float]) -> Value:
    ratios = [count(item) / item.total for item in runs]
    total = sum(item.total for item in runs)
    return Value(sum(map(count, runs)) / total, min(ratios), max(ratios))


def _average(values: list[float]) -> Value:
    return Value(sum(values) / len(values), min(values), max(values))


def _merge_quantiles(samples_by_seed: list[list[float]], percent: float) -> Value:
    merged = Latencies()
    by_seed = []
    for samples_s in samples_by_seed:
        seed_latencies = Latencies()
        seed_latencies.merge(samples_s)
        merged.merge(samples_s)
        by_seed.append(seed_latencies.quantile_s(percent))
    return Value(merged.quantile_s(percent), min(by_seed), max(by_seed))
