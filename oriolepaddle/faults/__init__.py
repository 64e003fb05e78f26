"""The fault matrix: the tests that cover each fault at each step."""

from oriolepaddle.faults.cell import Cell, impossible, shown, unproved
from oriolepaddle.faults.fault import Fault
from oriolepaddle.faults.row import Row
from oriolepaddle.faults.step import Step

__all__ = ["Cell", "Fault", "Row", "Step", "impossible", "shown", "unproved"]
