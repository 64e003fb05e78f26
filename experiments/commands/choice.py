"""Engines chosen by issuers that all read states before any sends a command."""

import random

import attrs

from oriolepaddle.commands import EngineCommand, EngineState
from oriolepaddle.commands.loads import grant_loads
from oriolepaddle.commands.plan import Plan
from oriolepaddle.config.model import Endpoint

__all__ = ["ChosenCounts", "compare_choices"]


@attrs.frozen
class ChosenCounts:
    """Concurrent loads started by issuers that read the same states.

    Attributes:
        shared: Count when all issuers rank the engines in the same order.
        independent: Count when each issuer uses a random order of its own.
    """

    shared: int
    independent: int


def compare_choices(
    engines: int, issuers: int, max_loads: int, seed: int
) -> ChosenCounts:
    """Count the engines that at least one of the issuers chooses."""
    generator = random.Random(seed)
    shared: set[str] = set()
    independent: set[str] = set()
    for _ in range(issuers):
        plans = _make_plans(engines)
        grant_loads(plans, max_loads, lambda plan: False, lambda plan: False)
        shared |= {plan.endpoint.id for plan in plans if plan.may_load}
        sampled_plans = generator.sample(plans, max_loads)
        independent |= {plan.endpoint.id for plan in sampled_plans}
    return ChosenCounts(len(shared), len(independent))


def _make_plans(engines: int) -> list[Plan]:
    return [
        Plan(
            f"p{i}",
            Endpoint(f"engine-{i}", "dc-1", "127.0.0.1:1", ()),
            EngineCommand(f"engine-{i}", 2, "model", "2"),
            EngineState(),
        )
        for i in range(engines)
    ]
