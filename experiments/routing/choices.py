"""Ablations: the effect of single parameters of the policy and the scenario.

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

__all__ = ["ABLATIONS", "Ablation", "main"]

BUSY = next(scenario for scenario in SCENARIOS if scenario.name == "busy")


@attrs.frozen
class Ablation:
    """A variant that differs from the default in one parameter.

    Attributes:
        name: The label of the row.
        make_policy: Creates the policy of a router.
        scenario: The load and the environment of the routers.
    """

    name: str
    make_policy: Callable[..., EndpointPolicy] = ShortestTimePolicy
    scenario: Scenario = BUSY


def _vary_policy(name: str, **values: float) -> Ablation:
    return Ablation(name, partial(ShortestTimePolicy, **values))


def _vary_scenario(name: str, **values: float) -> Ablation:
    return Ablation(name, scenario=attrs.evolve(BUSY, **values))


ABLATIONS = (
    Ablation("as chosen"),
    _vary_policy("homes count as others", preferred_prefill_weight=9.0),
    _vary_policy("prefill counts once", prefill_weight=1.0),
    _vary_policy("prefill counts 4 times", prefill_weight=4.0),
    _vary_policy("decode counts fully", decode_weight=1.0),
    _vary_policy("decode does not count", decode_weight=0.0),
    _vary_scenario("1 instance", instances=1),
    _vary_scenario("2 instances", instances=2),
    _vary_scenario(
        "reports each 0.25 s, 0.1 s late", report_interval_s=0.25, report_lag_s=0.1
    ),
    _vary_scenario("summaries each 0.5 s", summary_interval_s=0.5),
    _vary_scenario("summaries each 0.25 s", summary_interval_s=0.25),
    _vary_scenario(
        "both as often as 0.25 s",
        report_interval_s=0.25,
        report_lag_s=0.1,
        summary_interval_s=0.25,
    ),
    _vary_scenario("no bursts", is_steady=True),
    _vary_scenario("no bursts, 1 instance", is_steady=True, instances=1),
)


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 5,
    workers: Annotated[int, typer.Option(help="Processes side by side.")] = 3,
) -> None:
    """Change one parameter at a time, at a load of 80% of the capacity."""
    runs = [
        (index, seed) for index in range(len(ABLATIONS)) for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(workers) as executor:
        results = list(executor.map(_run, runs))
    typer.echo("choice                            in 1.5 s  p95 s  p99 s  tokens/req")
    for index, ablation in enumerate(ABLATIONS):
        by_seed = results[index * seeds : (index + 1) * seeds]
        typer.echo(f"{ablation.name:34}{_show(by_seed)}")


def _run(run: tuple[int, int]) -> Measures:
    ablation = ABLATIONS[run[0]]
    return Fleet(ablation.scenario, ablation.make_policy, run[1]).run()


def _show(by_seed: list[Measures]) -> str:
    latencies = Latencies()
    for measures in by_seed:
        latencies.merge(measures.first_token_s)
    samples = [item for measures in by_seed for item in measures.first_token_s]
    requests = sum(measures.total for measures in by_seed)
    in_time = sum(item <= FIRST_TOKEN_TARGET_S for item in samples) / requests
    tokens = sum(measures.computed_tokens for measures in by_seed) / requests
    p95_s, p99_s = latencies.quantile_s(95), latencies.quantile_s(99)
    return f"{in_time:8.3f}{p95_s:7.2f}{p99_s:7.2f}{tokens:12.0f}"


if __name__ == "__main__":
    typer.run(main)
