"""Structured logs."""

import sys

from loguru import logger

__all__ = ["set_up_logs"]

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message} {extra}"


def set_up_logs(level: str, form: str) -> None:
    """Send logs to standard error.

    Args:
        level: The least level that is logged.
        form: `text`, or `json` for one object a line.
    """
    logger.remove()
    if form == "json":
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT, colorize=False)
