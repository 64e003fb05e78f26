"""Output of the command-line tool."""

import json
from collections.abc import Sequence
from typing import Any

from rich.console import Console
from rich.table import Table

__all__ = ["make_table", "print_document", "print_rows"]


def print_document(document: dict[str, Any], as_json: bool) -> None:
    """Print an object as JSON, or as a table with a row for each member."""
    if as_json:
        print(json.dumps(document))
        return
    table = Table(show_header=False, box=None)
    for name, value in document.items():
        table.add_row(name.replace("_", " "), _format_value(value))
    Console().print(table)


def print_rows(rows: Sequence[dict[str, Any]], as_json: bool) -> None:
    """Print a list of objects as JSON, or as a table."""
    if as_json:
        print(json.dumps(list(rows)))
        return
    if not rows:
        print("none")
        return
    Console().print(make_table(rows))


def make_table(rows: Sequence[dict[str, Any]], title: str | None = None) -> Table:
    """Return a table with a column for each member of the first row."""
    table = Table(title=title)
    for name in rows[0]:
        table.add_column(name.replace("_", " "))
    for row in rows:
        table.add_row(*(_format_value(value) for value in row.values()))
    return table


def _format_value(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, list):
        return ", ".join(_format_value(item) for item in value)
    return str(value)
