"""Print a table of the choices among plain endpoints whose speed varies."""

from typing import Annotated

import attrs
import typer

from experiments.placement.pace import PaceParameters
from experiments.placement.plain_region import PlainOutcome, PlainRegion, PlainScenario
from oriolepaddle.daemon.logs import set_up_logs

__all__ = ["PLAIN_SCENARIOS", "Measures", "measure"]

VARIANTS = ("outstanding", "own outstanding", "without", "pace")
WARM_UP_S = 2.0
_SLOW = PlainScenario()
_TWENTYFOLD = ((0.02, 0.9), (0.4, 0.1))
_FALSE = PaceParameters(has_false_reports=True)
PLAIN_SCENARIOS = {
    "one of six slow": _SLOW,
    "high load": attrs.evolve(_SLOW, rate_per_s=330.0),
    "two endpoints": attrs.evolve(_SLOW, endpoints=2, rate_per_s=75.0),
    "costs differ twentyfold": PlainScenario(370.0, _TWENTYFOLD),
    "false reports": attrs.evolve(_SLOW, pace=_FALSE),
    "reports one second old": attrs.evolve(_SLOW, announce_delay_s=1.0),
    "lost peers": attrs.evolve(_SLOW, lost_from_s=4.0),
    "as usual": attrs.evolve(_SLOW, pace=PaceParameters(slow_factor=1.0)),
}


@attrs.frozen
class Measures:
    """What callers get.

    Attributes:
        p50_s: Median of the time to the response, in seconds.
        p99_s: Its 99th percentile.
        on_time: Fraction of the requests on time.
        worst_on_time: The same of the organisation with the smallest one.
    """

    p50_s: float
    p99_s: float
    on_time: float
    worst_on_time: float


def measure(
    scenario: PlainScenario, variant: str, seeds: int, seconds: float
) -> Measures:
    """Run a scenario and return what callers get after a warm-up."""
    outcomes = [
        item
        for seed in range(seeds)
        for item in PlainRegion(scenario, variant, seed).run(seconds)
        if item.arrived_s >= WARM_UP_S
    ]
    times_s = sorted(_find_time_s(item) for item in outcomes)
    groups: dict[int, list[PlainOutcome]] = {}
    for item in outcomes:
        groups.setdefault(item.organisation, []).append(item)
    return Measures(
        times_s[len(times_s) // 2],
        times_s[int(0.99 * len(times_s))],
        _find_on_time(scenario, outcomes),
        min(_find_on_time(scenario, group) for group in groups.values()),
    )


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 3,
    seconds: Annotated[float, typer.Option(help="Seconds of requests.")] = 8.0,
) -> None:
    """Compare placement with and without paces with least outstanding requests."""
    set_up_logs("ERROR", "text")
    for name, scenario in PLAIN_SCENARIOS.items():
        for variant in VARIANTS:
            found = measure(scenario, variant, seeds, seconds)
            typer.echo(
                f"{name:25}{variant:17}{found.p50_s:7.3f}{found.p99_s:7.3f}"
                f"{found.on_time:8.4f}{found.worst_on_time:8.4f}"
            )


def _find_time_s(outcome: PlainOutcome) -> float:
    return float("inf") if outcome.response_s is None else outcome.response_s


def _find_on_time(scenario: PlainScenario, outcomes: list[PlainOutcome]) -> float:
    on_time = sum(_find_time_s(item) <= scenario.target_s for item in outcomes)
    return on_time / len(outcomes)


if __name__ == "__main__":
    typer.run(main)
