"""Print a table that compares queue disciplines for admission."""

from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import typer

from experiments.admission.bench import Bench
from experiments.admission.discipline import DISCIPLINES
from experiments.admission.measures import Measures
from experiments.admission.workload import SHARES
from experiments.simulation import Latencies

__all__ = ["main"]

LOADS = (0.8, 1.3)
OVERLOAD = 1.3
MIN_SHARE = 0.9
HEADER = (
    "load  discipline             worst share (spread)  served   late    refused"
    "  p50 s  p95 s  p99 s   share of each organisation"
)


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 5,
    workers: Annotated[int, typer.Option(help="Processes side by side.")] = 3,
) -> None:
    """Compare both aims with baseline queues, below and above the capacity."""
    rows = [
        (load, discipline) for load in LOADS for discipline in range(len(DISCIPLINES))
    ]
    runs = [(*row, seed) for row in rows for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(workers) as executor:
        results = list(executor.map(_run, runs))
    typer.echo(HEADER)
    for index, (load, discipline) in enumerate(rows):
        by_seed = results[index * seeds : (index + 1) * seeds]
        typer.echo(f"{load:<6}{DISCIPLINES[discipline].name:22}{_show(by_seed)}")
    _show_target(results[rows.index((OVERLOAD, 0)) * seeds :][:seeds])


def _run(run: tuple[float, int, int]) -> Measures:
    load, discipline, seed = run
    return Bench(DISCIPLINES[discipline], load, seed).run()


def _find_worst_share(measures: Measures) -> float:
    return min(measures.served_ratio(name) for name in SHARES)


def _show(by_seed: list[Measures]) -> str:
    worst = [_find_worst_share(measures) for measures in by_seed]
    capacity = sum(measures.capacity_tokens for measures in by_seed)
    served = sum(sum(measures.served_tokens.values()) for measures in by_seed)
    late = sum(measures.late_tokens for measures in by_seed)
    refused = sum(sum(measures.refused.values()) for measures in by_seed)
    requests = sum(measures.requests for measures in by_seed)
    latencies = Latencies()
    for measures in by_seed:
        latencies.merge(measures.first_token_s)
    quantiles = "".join(f"{latencies.quantile_s(q):7.2f}" for q in (50, 95, 99))
    shares = " ".join(
        f"{sum(measures.served_ratio(name) for measures in by_seed) / len(by_seed):.2f}"
        for name in SHARES
    )
    return (
        f" {sum(worst) / len(worst):.3f} ({min(worst):.3f}-{max(worst):.3f})  "
        f"{served / capacity:8.3f}{late / capacity:8.3f}"
        f"{refused / requests:9.3f}{quantiles}   {shares}"
    )


def _show_target(by_seed: list[Measures]) -> None:
    worst = sum(map(_find_worst_share, by_seed)) / len(by_seed)
    word = "met" if worst >= MIN_SHARE else "NOT MET"
    typer.echo(
        f"{word}: worst-served organisation at {OVERLOAD} times the capacity, of an"
        f" equal share: {worst:.3f}, bound >= {MIN_SHARE}"
    )


if __name__ == "__main__":
    typer.run(main)
