"""Settings of the daemon, given by flags and environment variables."""

from oriolepaddle.settings.check import check_settings, find_problems
from oriolepaddle.settings.edge import EdgeSettings, parse_regions
from oriolepaddle.settings.options import add_options
from oriolepaddle.settings.settings import Settings

__all__ = [
    "EdgeSettings",
    "Settings",
    "add_options",
    "check_settings",
    "find_problems",
    "parse_regions",
]
