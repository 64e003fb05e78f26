"""Event logs: one line for each decision or state change."""

from typing import Any

from loguru import logger

__all__ = ["log_event"]


def log_event(event: str, **fields: Any) -> None:
    """Log an event.

    Args:
        event: The event's name, in snake case.
        fields: The inputs of the decision, their age or version, and the outcome.
    """
    logger.bind(**fields).info(event)
