"""Runs the steps of the demo."""

from collections.abc import Callable

from loguru import logger
from rich.console import Console

from oriolepaddle.clock import Clock, SystemClock
from oriolepaddle.ctl.output import make_table
from oriolepaddle.demo.fleet import DemoFleet
from oriolepaddle.demo.observation import Observation
from oriolepaddle.demo.steps import DemoSteps

__all__ = ["run_demo", "run_steps"]


def run_demo(clock: Clock | None = None) -> None:
    """Run all steps and print a table of the observations."""
    logger.remove()
    console = Console()
    console.print("starting three data centres with two instances each")
    observations = run_steps(clock or SystemClock(), console.print)
    rows = [{"step": row.step, "observed": row.result} for row in observations]
    console.print(make_table(rows, title="what was observed"))


def run_steps(clock: Clock, report: Callable[[str], None]) -> list[Observation]:
    """Run all steps on a new fleet.

    Args:
        clock: The clock of the fleet.
        report: Called with a line of text after each step.
    """
    fleet = DemoFleet(clock)
    observations = []
    try:
        fleet.start()
        steps = DemoSteps(fleet)
        for step in (
            steps.serve_both_kinds,
            steps.repeat_order,
            steps.lose_answer,
            steps.crash_engines,
            steps.retire_engine,
            steps.cut_region,
            steps.withdraw_key_during_cut,
            steps.exceed_rate,
            steps.drain_instance,
        ):
            observation = step()
            report(f"  {observation.step}: {observation.result}")
            observations.append(observation)
    finally:
        fleet.close()
    return observations
