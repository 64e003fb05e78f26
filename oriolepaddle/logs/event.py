"""One line for each decision or change of belief."""

from typing import Any

from loguru import logger

__all__ = ["log_event"]


def log_event(event: str, **fields: Any) -> None:
    """Log an event.

    Args:
        event: Its name, in snake case.
        fields: The inputs that decided it, their age or version, the outcome.
    """
    logger.bind(**fields).info(event)
