"""Structured logs that never block the code that logs."""

from oriolepaddle.logs.event import log_event, log_unforeseen
from oriolepaddle.logs.writer import BoundedLogWriter

__all__ = ["BoundedLogWriter", "log_event", "log_unforeseen"]
