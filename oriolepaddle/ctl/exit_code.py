"""The exit codes of the command-line tool."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """How a command ended; `docs/ctl.md` lists the same."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    INVALID_TICKET = 4
    NOT_FOUND = 5
