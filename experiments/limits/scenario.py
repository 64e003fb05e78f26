"""Scenarios of the limits experiment."""

import attrs

from experiments.limits.workload import Workload

__all__ = ["Scenario"]


@attrs.frozen
class Scenario:
    """The load and the faults of a run.

    Attributes:
        name: The label in the table.
        instances: The data centre of each instance.
        workload: The requests of the organisations.
        organisations: The number of organisations.
        seconds: The duration after the warm-up.
        cut_off: A data centre that is cut off during the middle third, or empty.
        replacements: Number of graceful replacements of instances, one after the other.
        crashes: Number of crashes of instances, which start again 10 s later.
    """

    name: str
    instances: dict[str, str]
    workload: Workload
    organisations: int = 12
    seconds: float = 300.0
    cut_off: str = ""
    replacements: int = 0
    crashes: int = 0
