"""One step of the fault matrix under each fault."""

import attrs

from oriolepaddle.faults.cell import Cell
from oriolepaddle.faults.fault import Fault
from oriolepaddle.faults.step import Step

__all__ = ["Row"]


@attrs.frozen(kw_only=True)
class Row:
    """The cells of one step: a required field for each fault, so none is omitted."""

    step: Step
    kill: Cell
    freeze: Cell
    cut_one_way: Cell
    cut_both_ways: Cell
    slow: Cell
    silent: Cell
    platform_down: Cell
    platform_stale: Cell
    list_late: Cell
    lost: Cell
    late: Cell
    doubled: Cell
    racing: Cell

    def cell(self, fault: Fault) -> Cell:
        """Return the cell of a fault."""
        return getattr(self, fault.name.lower())
