"""One task's cost at several sizes."""

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
    """A task's cost at several sizes, with the line through it.

    Attributes:
        task: What was done.
        size_name: What the size counts.
        unit: The unit of the costs.
        sizes: The sizes.
        costs: The cost at each.
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
        """Return the series that `cost` gives."""
        return cls(task, size_name, unit, sizes, tuple(cost(size) for size in sizes))

    @property
    def line(self) -> Line:
        """The line of least squares."""
        return fit_line(self.sizes, self.costs)


def measure_us(cpu: CpuTimeReader, work: Callable[[int], Any], times: int) -> float:
    """Return microseconds of processor time of one step, the median of rounds.

    Args:
        cpu: Reads the processor time.
        work: The step; it is given its number, counted over all rounds.
        times: Steps in each round.
    """
    spent = []
    for start in range(0, ROUNDS * times, times):
        started_s = cpu.read_s()
        for number in range(start, start + times):
            work(number)
        spent.append((cpu.read_s() - started_s) / times * US_PER_S)
    return statistics.median(spent)


def measure_memory_bytes(build: Callable[[], Any]) -> float:
    """Return the bytes that what `build` returns keeps."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(used_bytes)
