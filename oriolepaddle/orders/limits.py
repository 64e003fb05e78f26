"""Bounds of the order registry."""

from datetime import timedelta

import attrs

__all__ = ["LEDGER_BYTES", "RECORD_BYTES", "OrderLimits"]

RECORD_BYTES = 300
"""What a record without an answer is counted with, containers included."""

LEDGER_BYTES = 500
"""What an organisation with any record is counted with beside its records."""


@attrs.frozen
class OrderLimits:
    """Bounds on what one instance keeps for repeats.

    Attributes:
        lifetime: How long a number may be used after its issue.
        max_bytes: The most bytes kept for records and answers together. Once
            it is reached, answers give way to records down to half of it. Only
            the records of orders that are running may exceed it.
        max_answer_bytes: The largest answer that is kept.
        max_wait: How long a repeat waits for the first run's answer.
        max_waiters: Repeats that wait side by side; others are told at once
            that the order is in progress.
        sweep_interval: How often expired records are removed.
    """

    lifetime: timedelta = timedelta(hours=6)
    max_bytes: int = 48_000_000
    max_answer_bytes: int = 1_000_000
    max_wait: timedelta = timedelta(seconds=30)
    max_waiters: int = 64
    sweep_interval: timedelta = timedelta(seconds=60)
