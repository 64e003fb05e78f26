"""Measured cost of a task at several sizes."""

import gc
import statistics
import tracemalloc
from collections.abc import Callable
from typing import Any

import attrs

from experiments.capacity.cpu import CpuTimeReader
from experiments.capacity.fit import Line, fit_line

__all__ = ["Series", "measure_memory_bytes", "measure_us"]

ROUNDS = 3
US_PER_S = 1e6


@attrs.frozen
class Series:
    """Cost of a task at several sizes, with a linear fit.

    Attributes:
        task: Name of the measured task.
        size_name: What the size counts.
        unit: The unit of the costs.
        sizes: The sizes.
        costs: The cost at each size.
    """

    task: str
    size_name: str
    unit: str
    sizes: tuple[int, ...]
    costs: tuple[float, ...]

    @classmethod
    def measure(
        cls,
        task: str,
        size_name: str,
        unit: str,
        sizes: tuple[int, ...],
        cost: Callable[[int], float],
    ) -> "Series":
        """Measure `cost` at each size and return the series."""
        return cls(task, size_name, unit, sizes, tuple(cost(size) for size in sizes))

    @property
    def line(self) -> Line:
        """The least-squares line through the costs."""
        return fit_line(self.sizes, self.costs)


def measure_us(
    cpu: CpuTimeReader, work: Callable[[int], Any], steps_per_round: int
) -> float:
    """Return the median over rounds of the processor time of one step.

    The result is in microseconds.

    Args:
        cpu: Reader of the processor time.
        work: The step; called with its index over all rounds.
        steps_per_round: Steps in each round.
    """
    step_times_us = []
    for start in range(0, ROUNDS * steps_per_round, steps_per_round):
        started_s = cpu.read_s()
        for number in range(start, start + steps_per_round):
            work(number)
        step_times_us.append((cpu.read_s() - started_s) / steps_per_round * US_PER_S)
    return statistics.median(step_times_us)


def measure_memory_bytes(build: Callable[[], Any]) -> float:
    """Return the memory in bytes retained by the result of `build`."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(used_bytes)
