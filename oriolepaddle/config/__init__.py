"""Configuration: tickets, the merged state and how it spreads."""

from oriolepaddle.config.codec import parse_ticket, write_ticket
from oriolepaddle.config.conflict import Conflict, ConflictKind
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.floor import Floor
from oriolepaddle.config.keys import digest_key, find_key
from oriolepaddle.config.platform_reader import PlatformReader
from oriolepaddle.config.rejections import Rejection, Rejections
from oriolepaddle.config.staleness import StalenessGuard
from oriolepaddle.config.state import ConfigState
from oriolepaddle.config.sync import ConfigSync
from oriolepaddle.config.ticket import Ticket
from oriolepaddle.config.wire import CONFIGURATION_SERVICE

__all__ = [
    "CONFIGURATION_SERVICE",
    "ConfigState",
    "ConfigSync",
    "Conflict",
    "ConflictKind",
    "Entry",
    "Floor",
    "PlatformReader",
    "Rejection",
    "Rejections",
    "StalenessGuard",
    "Ticket",
    "digest_key",
    "find_key",
    "parse_ticket",
    "write_ticket",
]
