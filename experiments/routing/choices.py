"""What single choices of the policy, and its surroundings, are worth.

Run as `python -m experiments.routing.choices`.
"""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Annotated

import attrs
import typer

from experiments.routing.fleet import Fleet
from experiments.routing.measures import FIRST_TOKEN_TARGET_S, Measures
from experiments.routing.scenario import SCENARIOS, Scenario
from experiments.simulation import Latencies
from oriolepaddle.routing import EndpointPolicy, ShortestTimePolicy

__all__ = ["CHOICES", "Choice", "main"]

BUSY = next(scenario for scenario in SCENARIOS if scenario.name == "busy")


@attrs.frozen
class Choice:
    """One row: the policy or its surroundings changed in one way.

    Attributes:
        name: The row's name.
        make_policy: Makes a router's policy.
        scenario: The load and what surrounds the routers.
    """

    name: str
    make_policy: Callable[..., EndpointPolicy] = ShortestTimePolicy
    scenario: Scenario = BUSY


def _change_policy(name: str, **values: float) -> Choice:
    return Choice(name, partial(ShortestTimePolicy, **values))


def _change_scenario(name: str, **values: float) -> Choice:
    return Choice(name, scenario=attrs.evolve(BUSY, **values))


CHOICES = (
    Choice("as chosen"),
    _change_policy("homes count as others", preferred_prefill_weight=9.0),
    _change_policy("prefill counts once", prefill_weight=1.0),
    _change_policy("prefill counts 4 times", prefill_weight=4.0),
    _change_policy("decode counts fully", decode_weight=1.0),
    _change_policy("decode does not count", decode_weight=0.0),
    _change_scenario("1 instance", instances=1),
    _change_scenario("2 instances", instances=2),
    _change_scenario(
        "reports each 0.25 s, 0.1 s late", report_interval_s=0.25, report_lag_s=0.1
    ),
    _change_scenario("summaries each 0.5 s", summary_interval_s=0.5),
    _change_scenario("summaries each 0.25 s", summary_interval_s=0.25),
    _change_scenario(
        "both as often as 0.25 s",
        report_interval_s=0.25,
        report_lag_s=0.1,
        summary_interval_s=0.25,
    ),
    _change_scenario("no bursts", is_steady=True),
    _change_scenario("no bursts, 1 instance", is_steady=True, instances=1),
)


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 5,
    workers: Annotated[int, typer.Option(help="Processes side by side.")] = 3,
) -> None:
    """Change one thing at a time at 80% of the capacity."""
    runs = [
        (place, seed) for place in range(len(CHOICES)) for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(workers) as executor:
        results = list(executor.map(_run, runs))
    typer.echo("choice                            in 1.5 s  p95 s  p99 s  tokens/req")
    for place, choice in enumerate(CHOICES):
        found = results[place * seeds : (place + 1) * seeds]
        typer.echo(f"{choice.name:34}{_show(found)}")


def _run(run: tuple[int, int]) -> Measures:
    choice = CHOICES[run[0]]
    return Fleet(choice.scenario, choice.make_policy, run[1]).run()


def _show(found: list[Measures]) -> str:
    latencies = Latencies()
    for measures in found:
        latencies.merge(measures.first_token_s)
    samples = [item for measures in found for item in measures.first_token_s]
    requests = sum(measures.total for measures in found)
    in_time = sum(item <= FIRST_TOKEN_TARGET_S for item in samples) / requests
    tokens = sum(measures.computed_tokens for measures in found) / requests
    p95_s, p99_s = latencies.quantile_s(95), latencies.quantile_s(99)
    return f"{in_time:8.3f}{p95_s:7.2f}{p99_s:7.2f}{tokens:12.0f}"


if __name__ == "__main__":
    typer.run(main)
