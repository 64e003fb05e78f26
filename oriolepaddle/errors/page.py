"""The page of error codes, generated from `ErrorCode`."""

import sys

from oriolepaddle.errors.code import ErrorCode

__all__ = ["write_error_page"]

_INTRODUCTION = """\
# Errors

`python -m oriolepaddle.errors.page` writes this page from
`oriolepaddle/errors/code.py`; a test compares the two.

The table gives each code with its HTTP status and the outcome that it carries
unless the error itself says another: an error raised after a request was sent
may tell `unknown` where the table says `not run`, and the other way round. The
outcome in the answer is the one that counts. `docs/caller.md` has the JSON form
and says what each outcome means for sending again.
"""
_HEADINGS = ("Code", "Status", "Outcome", "Meaning")


def write_error_page() -> str:
    """Return the page in Markdown."""
    lines = [
        _INTRODUCTION,
        _write_row(_HEADINGS),
        _write_row(("---",) * len(_HEADINGS)),
    ]
    lines += [_write_code(code) for code in ErrorCode]
    return "\n".join(lines) + "\n"


def _write_code(code: ErrorCode) -> str:
    return _write_row(
        (f"`{code.code}`", str(code.status), code.outcome.value, code.meaning)
    )


def _write_row(cells: tuple[str, ...]) -> str:
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    sys.stdout.write(write_error_page())
