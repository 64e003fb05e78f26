"""Command line: `python -m soak` runs given seeds, or random ones for a time."""

import random
import secrets
import sys
from typing import Annotated

import typer
from loguru import logger

from soak.fleet import now_s
from soak.run import SoakResult, run_seed

SEED_BITS = 31
EXIT_VIOLATION = 1


def soak(
    seed: Annotated[list[int] | None, typer.Option(help="A seed to run.")] = None,
    first: Annotated[int, typer.Option(help="The first of --count seeds.")] = 1,
    count: Annotated[int, typer.Option(help="Seeds from --first on.")] = 0,
    minutes: Annotated[float, typer.Option(help="Minutes of fresh seeds.")] = 0.0,
    seconds: Annotated[float, typer.Option(help="Seconds of faults a seed.")] = 12.0,
    instances: Annotated[int, typer.Option(help="Instances a data centre.")] = 2,
) -> None:
    """Run seeds and exit with 1 if a promise was broken."""
    # The stand-ins log each caller that disconnects, which the soak does on purpose.
    logger.remove()
    seeds = [*(seed or ()), *range(first, first + count)]
    has_violations = False
    for item in seeds:
        has_violations |= _report(run_seed(item, seconds, instances_each=instances))
    generator = random.Random(secrets.randbits(64))
    deadline_s = now_s() + minutes * 60
    while now_s() < deadline_s:
        random_seed = generator.getrandbits(SEED_BITS)
        has_violations |= _report(
            run_seed(random_seed, seconds, instances_each=instances)
        )
    sys.exit(EXIT_VIOLATION if has_violations else 0)


def _report(result: SoakResult) -> bool:
    verdict = "BROKEN" if result.violations else "kept"
    typer.echo(
        f"seed {result.seed}: {verdict}, {result.served} of {result.requests} served, "
        f"faults: {', '.join(result.faults)}"
    )
    for line in result.violations:
        typer.echo(f"  {line}")
    if result.violations:
        typer.echo(f"  logs: {result.logs}")
    return bool(result.violations)


if __name__ == "__main__":
    typer.run(soak)
