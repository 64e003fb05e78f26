"""Exit codes of the command-line tool."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """Exit code of a command, as listed in `docs/ctl.md`."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    INVALID_TICKET = 4
    NOT_FOUND = 5
