"""Load of tasks on one instance, and limits for control tasks."""

from collections.abc import Iterable

import attrs

__all__ = ["CONTROL_LIMITS", "TaskLoad", "add_loads", "share_of_core"]

US_PER_S = 1e6


@attrs.frozen
class TaskLoad:
    """One task's load on one instance.

    Attributes:
        task: The task.
        is_control: Whether the task is control work rather than caller traffic.
        state_bytes: Memory in bytes.
        messages_per_s: Messages sent and received.
        bytes_per_s: Bytes of these messages.
        core_share: Processor time as a fraction of one core.
    """

    task: str
    is_control: bool
    state_bytes: float = 0.0
    messages_per_s: float = 0.0
    bytes_per_s: float = 0.0
    core_share: float = 0.0


CONTROL_LIMITS = TaskLoad(
    "control may spend", True, 256e6, bytes_per_s=7_000.0, core_share=0.018
)


def share_of_core(cost_us: float, rate_per_s: float) -> float:
    """Return the fraction of a core used by steps of `cost_us` at a rate."""
    return cost_us * rate_per_s / US_PER_S


def add_loads(task: str, loads: Iterable[TaskLoad], is_control: bool) -> TaskLoad:
    """Return the sum of the control loads or of the caller traffic."""
    chosen = [load for load in loads if load.is_control == is_control]
    return TaskLoad(
        task,
        is_control,
        sum(load.state_bytes for load in chosen),
        sum(load.messages_per_s for load in chosen),
        sum(load.bytes_per_s for load in chosen),
        sum(load.core_share for load in chosen),
    )
