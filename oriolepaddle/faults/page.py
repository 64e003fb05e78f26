"""Writes the fault matrix as Markdown: `python -m oriolepaddle.faults.page`."""

import collections
import sys
from collections.abc import Iterator

from oriolepaddle.faults.cell import Cell
from oriolepaddle.faults.claim import Claim
from oriolepaddle.faults.fault import Fault
from oriolepaddle.faults.guarantees import GUARANTEES
from oriolepaddle.faults.hardening import HARDENING
from oriolepaddle.faults.pairs import PAIRS
from oriolepaddle.faults.row import Row
from oriolepaddle.faults.table import ROWS

__all__ = ["PAGE", "write_page"]

PAGE = "docs/fault-matrix.md"

_INTRODUCTION = """\
# Fault matrix

Made by `python -m oriolepaddle.faults.page > docs/fault-matrix.md` from the table
in `oriolepaddle/faults`; see [faults](faults.md).

A cell is marked shown if a test injects the fault at the step. Tests that only draw
faults at random (`TestInterleavings`, `TestOrderMachine`, `TestRandomFaults`,
`TestConvergence`) don't count for a cell. A dash means that the fault cannot occur
at the step; the reason is given below.
"""


def write_page() -> str:
    """Return the page as Markdown."""
    parts = [
        _INTRODUCTION,
        "## Overview\n",
        *_overview(),
        "\n## What must always hold\n",
        *_claims(GUARANTEES),
        "\n## Under hostile or odd input\n",
        *_claims(HARDENING),
        "\n## Pairs of faults\n",
        *_claims(PAIRS),
        "\n## Step by step",
        *_steps(),
        "\n## Not proved\n",
        *_gaps(),
    ]
    return "\n".join(parts) + "\n"


def _overview() -> Iterator[str]:
    counts = collections.Counter(
        _format_cell(row.cell(fault)) for row in ROWS for fault in Fault
    )
    yield (
        f"{sum(counts.values())} cells: {counts['shown']} shown, "
        f"{counts['-']} cannot occur, {counts['**no**']} not proved.\n"
    )
    yield "| Step | " + " | ".join(fault.value for fault in Fault) + " |"
    yield "|---" * (len(Fault) + 1) + "|"
    for row in ROWS:
        cells = " | ".join(_format_cell(row.cell(fault)) for fault in Fault)
        yield f"| {row.step.value} | {cells} |"


def _format_cell(cell: Cell) -> str:
    if cell.tests:
        return "shown"
    return "-" if cell.impossible else "**no**"


def _claims(claims: tuple[Claim, ...]) -> Iterator[str]:
    for number, claim in enumerate(claims, 1):
        yield f"{number}. {claim.text}"
        for fault, test in claim.tests:
            yield f"    - {fault}: `{test}`"
        if claim.unproved:
            yield f"    - not proved: {claim.unproved}"


def _steps() -> Iterator[str]:
    for row in ROWS:
        yield f"\n### {row.step.value.capitalize()}\n"
        yield from (_format_line(row, fault) for fault in Fault)


def _format_line(row: Row, fault: Fault) -> str:
    cell = row.cell(fault)
    if cell.tests:
        tests = ", ".join(f"`{test}`" for test in cell.tests)
        return f"- {fault.value}: {tests}"
    if cell.impossible:
        return f"- {fault.value}: cannot occur: {cell.impossible}"
    return f"- {fault.value}: not proved: {cell.unproved}"


def _gaps() -> Iterator[str]:
    for claim in (*GUARANTEES, *HARDENING, *PAIRS):
        if claim.unproved:
            yield f"- {claim.text.rstrip('.')}: {claim.unproved}"
    for row in ROWS:
        for fault in Fault:
            gap = row.cell(fault).unproved
            if gap:
                yield f"- {row.step.value}, {fault.value}: {gap}"


if __name__ == "__main__":
    sys.stdout.write(write_page())
