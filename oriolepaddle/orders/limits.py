"""Limits of the order registry."""

from datetime import timedelta

import attrs

__all__ = ["LEDGER_BYTES", "RECORD_BYTES", "OrderLimits"]

RECORD_BYTES = 300
"""Accounted size of a record without an answer, including container overhead."""

LEDGER_BYTES = 500
"""Accounted size of an organisation's ledger, without its records."""


@attrs.frozen
class OrderLimits:
    """Limits on what one instance stores to answer repeats.

    Attributes:
        lifetime: How long after its issue an order number is valid.
        max_bytes: The limit on the accounted size of records and answers
            together. At the limit, answers are evicted before records until
            they use half of the space. Only the records of running orders may
            exceed it.
        max_answer_bytes: The largest answer that is stored.
        max_wait: The longest time that a repeat waits for the first run's answer.
        max_waiters: The limit on concurrently waiting repeats; any further one
            fails at once with "order in progress".
        sweep_interval: The shortest time between two removals of expired records.
    """

    lifetime: timedelta = timedelta(hours=6)
    max_bytes: int = 48_000_000
    max_answer_bytes: int = 1_000_000
    max_wait: timedelta = timedelta(seconds=30)
    max_waiters: int = 64
    sweep_interval: timedelta = timedelta(seconds=60)
