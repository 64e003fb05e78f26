"""Event logs: one line for each decision or state change."""

from typing import Any

from loguru import logger

__all__ = ["log_event", "log_unforeseen"]


def log_event(event: str, **fields: Any) -> None:
    """Log an event.

    Args:
        event: The event's name, in snake case.
        fields: The inputs of the decision, their age or version, and the outcome.
    """
    logger.bind(**fields).info(event)


def log_unforeseen(thread: str, error: Exception) -> None:
    """Log an error that no code expects, in a loop that must go on.

    Args:
        thread: The name of the thread.
        error: The error, which is logged with its traceback.
    """
    logger.opt(exception=error).error("unforeseen error in the thread {}", thread)
