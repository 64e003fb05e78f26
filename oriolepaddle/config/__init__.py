"""Configuration: tickets, their validation and the merged state."""

from oriolepaddle.config.codec import parse_ticket, write_ticket
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.state import ConfigState
from oriolepaddle.config.ticket import Ticket

__all__ = ["ConfigState", "Entry", "Ticket", "parse_ticket", "write_ticket"]
