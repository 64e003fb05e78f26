"""Setup of structured logs."""

import sys

from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.logs import BoundedLogWriter

__all__ = ["set_up_event_logs", "set_up_logs"]

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message} {extra}"


def set_up_logs(level: str, log_format: str) -> None:
    """Send logs to standard error.

    Args:
        level: The least level that is logged.
        log_format: `text`, or `json` for one object a line.
    """
    logger.remove()
    if log_format == "json":
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT, colorize=False)


def set_up_event_logs(
    level: str, clock: Clock, max_lines_per_s: int
) -> BoundedLogWriter:
    """Send logs as JSON lines to standard output, without blocking on it.

    Args:
        level: The least level that is logged.
        clock: The clock.
        max_lines_per_s: Lines written in one second.
    """
    writer = BoundedLogWriter(sys.stdout, clock, max_lines_per_s)
    logger.remove()
    logger.add(writer, level=level, format="{message}")
    return writer
