"""Structured logs that never hold up what they tell of."""

from oriolepaddle.logs.event import log_event
from oriolepaddle.logs.writer import BoundedLogWriter

__all__ = ["BoundedLogWriter", "log_event"]
