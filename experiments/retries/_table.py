"""Output of the measures as a table."""

from collections.abc import Callable

import numpy as np
from rich.console import Console
from rich.table import Table

from experiments.retries._fault import Fault
from experiments.retries._measures import Measures
from experiments.retries._scenario import Policy

__all__ = ["COLUMNS", "Results", "print_table"]

TABLE_WIDTH = 280

Results = dict[tuple[Fault, Policy], list[Measures]]

COLUMNS: dict[str, tuple[Callable[[Measures], float], str]] = {
    "added %": (lambda m: 100 * m.added_share, ".2f"),
    "success %": (lambda m: 100 * m.success_share, ".2f"),
    "worst org. %": (lambda m: 100 * m.worst_share, ".1f"),
    "p99 s": (lambda m: m.p99_s, ".2f"),
    "busy s/answer": (lambda m: m.busy_per_answer_s, ".3f"),
    "crashes/crasher": (lambda m: m.crashes_per_crasher, ".2f"),
    "most": (lambda m: max(m.crashes.values(), default=0), ".0f"),
    "refused": (lambda m: m.harmless_refused, ".0f"),
    "delayed": (lambda m: m.harmless_delayed, ".0f"),
    "delay s": (lambda m: m.delay_s / max(1, m.harmless_delayed), ".2f"),
}


def print_table(results: Results, seeds: int) -> None:
    """Print the median, lowest and highest value of each measure over the seeds."""
    table = Table(title=f"median of {seeds} seeds, lowest and highest in brackets")
    for heading in ("fault", "policy", *COLUMNS):
        table.add_column(heading, no_wrap=True)
    last = None
    for (fault, policy), measures in results.items():
        cells = [_show(measures, *column) for column in COLUMNS.values()]
        if last is not None and fault is not last:
            table.add_section()
        table.add_row("" if fault is last else fault.value, policy.value, *cells)
        last = fault
    Console(width=TABLE_WIDTH).print(table)


def _show(
    measures: list[Measures], read: Callable[[Measures], float], form: str
) -> str:
    values = [read(item) for item in measures]
    median, low, high = np.median(values), min(values), max(values)
    if low == high:
        return format(median, form)
    return f"{median:{form}} [{low:{form}}, {high:{form}}]"
