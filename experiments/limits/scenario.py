"""What happens in a run of the experiment."""

import attrs

from experiments.limits.workload import Workload

__all__ = ["Scenario"]


@attrs.frozen
class Scenario:
    """What happens in a run.

    Attributes:
        name: Its name in the table.
        instances: The data centre of each instance.
        workload: What organisations ask for.
        organisations: How many there are.
        seconds: How long it lasts after the warm-up.
        cut_off: A data centre cut off in the middle third, or empty.
        replacements: Instances replaced one after the other, gracefully.
        crashes: Instances that crash and start again 10 s later.
    """

    name: str
    instances: dict[str, str]
    workload: Workload
    organisations: int = 12
    seconds: float = 300.0
    cut_off: str = ""
    replacements: int = 0
    crashes: int = 0
