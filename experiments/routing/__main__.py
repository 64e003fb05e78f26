"""Print a table that compares routing policies."""

from pathlib import Path
from typing import Annotated

import typer

from experiments.routing.plot import draw
from experiments.routing.runs import POLICIES, run_all
from experiments.routing.scenario import SCENARIOS
from experiments.routing.summary import Summary, summarize
from experiments.routing.target import check_targets

__all__ = ["main"]

FAILED_REGION = "sudur"
HEADER = (
    "scenario     policy            busy s/req  tokens/req  p50 s  p95 s (spread)"
    "        p99 s (spread)        in 1.5 s  sent away  worst org (spread)   refused"
)


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 5,
    workers: Annotated[int, typer.Option(help="Processes side by side.")] = 3,
    plot: Annotated[Path | None, typer.Option(help="File for a plot.")] = None,
) -> None:
    """Compare the router's policy with baselines, with and without faults."""
    results = run_all(seeds, workers)
    summaries = {
        (scenario.name, policy): summarize(
            results, scenario.name, policy, FAILED_REGION
        )
        for scenario in SCENARIOS
        for policy in POLICIES
    }
    typer.echo(HEADER)
    for (scenario, policy), summary in summaries.items():
        typer.echo(_show(scenario, policy, summary))
    for target in check_targets(summaries):
        typer.echo(target.show())
    if plot is not None:
        draw(results, plot)


def _show(scenario: str, policy: str, summary: Summary) -> str:
    return (
        f"{scenario:13}{policy:18}{summary.busy_s.mean:10.3f}"
        f"{summary.computed_tokens.mean:12.0f}{summary.p50_s.mean:7.2f}"
        f"  {summary.p95_s.show(2):21} {summary.p99_s.show(2):22}"
        f"{summary.in_time.mean:7.3f}{summary.forwarded.mean:11.3f}"
        f"  {summary.worst_served.show(3):20} {summary.refused.mean:.4f}"
    )


if __name__ == "__main__":
    typer.run(main)
