"""Documentation page of the error codes, generated from `ErrorCode`."""

import sys

from oriolepaddle.errors.code import ErrorCode

__all__ = ["write_error_page"]

_INTRODUCTION = """\
# Errors

`python -m oriolepaddle.errors.page` writes this page from
`oriolepaddle/errors/code.py`; a test compares the two.

The table lists each code with its HTTP status and its default outcome. An error
may carry another outcome: if it is raised after the request was sent, it may have
`unknown` where the table has `not run`, and the other way round. The outcome in
the answer takes precedence. `docs/caller.md` describes the JSON format and what
each outcome means for retries.
"""
_HEADINGS = ("Code", "Status", "Outcome", "Meaning")


def write_error_page() -> str:
    """Return the page in Markdown."""
    lines = [
        _INTRODUCTION,
        _format_row(_HEADINGS),
        _format_row(("---",) * len(_HEADINGS)),
    ]
    lines += [_format_code(code) for code in ErrorCode]
    return "\n".join(lines) + "\n"


def _format_code(code: ErrorCode) -> str:
    return _format_row(
        (f"`{code.code}`", str(code.status), code.outcome.value, code.meaning)
    )


def _format_row(cells: tuple[str, ...]) -> str:
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    sys.stdout.write(write_error_page())
