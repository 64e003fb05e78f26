"""The command-line tool `oriolectl`."""

from oriolepaddle.ctl.client import OperatorClient
from oriolepaddle.ctl.exit_code import ExitCode

__all__ = ["ExitCode", "OperatorClient"]
