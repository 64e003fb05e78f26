"""Print a table that compares placement variants."""

from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import typer

from experiments.placement.region import Region
from experiments.placement.scenario import SCENARIOS, VARIANTS, Scenario, Variant
from experiments.placement.summary import Summary, summarize
from oriolepaddle.daemon.logs import set_up_logs

__all__ = ["main"]

HEADER = (
    "scenario             variant                  kind    worth on time  late"
    " refused  lost largest"
)


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 2,
    seconds: Annotated[float, typer.Option(help="Seconds of requests.")] = 12.0,
    workers: Annotated[int, typer.Option(help="Processes side by side.")] = 3,
    scenario: Annotated[str, typer.Option(help="Only this one.")] = "",
) -> None:
    """Compare placement by time to first byte with stream costs and urgency."""
    selected = [item for item in SCENARIOS if scenario in ("", item.name)]
    tasks = [(item, variant) for item in selected for variant in VARIANTS]
    typer.echo(HEADER)
    with ProcessPoolExecutor(workers) as executor:
        futures = [
            executor.submit(run_variant, item, variant, seeds, seconds)
            for item, variant in tasks
        ]
        for (item, variant), future in zip(tasks, futures, strict=True):
            for summary in future.result():
                typer.echo(_show(item, variant, summary))


def run_variant(
    scenario: Scenario, variant: Variant, seeds: int, seconds: float
) -> list[Summary]:
    """Run a scenario and return a summary of each request kind and one of all."""
    set_up_logs("ERROR", "text")
    outcomes = [
        outcome
        for seed in range(seeds)
        for outcome in Region(scenario, variant, seed).run(seconds)
    ]
    summaries = [
        summarize(kind.name, [item for item in outcomes if item.kind == kind])
        for kind in scenario.kinds
    ]
    return [*summaries, summarize("all", outcomes)]


def _show(scenario: Scenario, variant: Variant, summary: Summary) -> str:
    return (
        f"{scenario.name:21}{variant.name:25}{summary.name:6}{summary.earned_share:7.3f}"
        f"{summary.on_time:8.3f}{summary.late:6.3f}{summary.refused:8.3f}"
        f"{summary.incomplete:6.3f}{summary.earned_share_of_largest:8.3f}"
    )


if __name__ == "__main__":
    typer.run(main)
