"""Time for which used order numbers and their answers fit into the memory limit."""

import attrs

from oriolepaddle.orders import OrderLimits
from oriolepaddle.orders.limits import RECORD_BYTES

__all__ = ["Retention", "compute_retention"]

S_PER_HOUR = 3_600


@attrs.frozen
class Retention:
    """Retention under the limits at one rate of orders and size of answers.

    Attributes:
        orders_per_s: Orders a second at one instance.
        answers_h: Hours for which answers are stored.
        records_h: Hours for which used numbers are recorded.
    """

    orders_per_s: float
    answers_h: float
    records_h: float


def compute_retention(
    limits: OrderLimits, orders_per_s: float, answer_size_bytes: int
) -> Retention:
    """Compute the retention at a steady rate of orders.

    Answers are evicted before records until they use half of the memory. The
    result is computed from accounted sizes, not measured.

    Args:
        limits: Limits of the order registry.
        orders_per_s: Orders a second at one instance.
        answer_size_bytes: `OrderAnswer.size_bytes` of each answer.
    """
    lifetime_s = limits.lifetime.total_seconds()
    records_bytes = lifetime_s * orders_per_s * RECORD_BYTES
    answers_bytes = lifetime_s * orders_per_s * answer_size_bytes
    half_bytes = limits.max_bytes / 2
    answers_bytes = min(
        answers_bytes, max(half_bytes, limits.max_bytes - records_bytes)
    )
    records_bytes = min(records_bytes, limits.max_bytes - answers_bytes)
    records_s = records_bytes / (orders_per_s * RECORD_BYTES)
    answers_s = min(records_s, answers_bytes / (orders_per_s * answer_size_bytes))
    return Retention(orders_per_s, answers_s / S_PER_HOUR, records_s / S_PER_HOUR)
