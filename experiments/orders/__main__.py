"""Print the cost of orders and the retention under the default limits.

Run with `python -m experiments.orders`.
"""

from rich.console import Console
from rich.table import Table

from experiments.orders.measurement import (
    make_answer,
    measure_costs,
    measure_record_bytes,
)
from experiments.orders.retention import compute_retention
from oriolepaddle.orders import OrderLimits
from oriolepaddle.orders.limits import LEDGER_BYTES, RECORD_BYTES

__all__ = ["main"]

ORDERS = 46_000
ORGANISATIONS = 23_000
REQUESTS_PER_S = 8_800
INSTANCES = 420
ORDER_SHARE = 0.05
SKEWS = (1, 10)
ANSWER_BYTES = (250, 1_000, 4_000, 16_000)


def main() -> None:
    """Measure the cost of orders and print one table."""
    table = Table("what", "figure")
    for answer_bytes in (None, 250, 1_000):
        measured_bytes = measure_record_bytes(ORDERS, answer_bytes)
        accounted_bytes = RECORD_BYTES
        if answer_bytes is not None:
            accounted_bytes += make_answer(answer_bytes).size_bytes
        table.add_row(
            f"memory of an order, body of {answer_bytes} B",
            f"{measured_bytes:.0f} B measured, {accounted_bytes} B counted",
        )
    table.add_row(
        "memory of an organisation with one record",
        f"{measure_record_bytes(ORGANISATIONS, None, ORGANISATIONS):.0f} B measured, "
        f"{RECORD_BYTES + LEDGER_BYTES} B counted",
    )
    for cost in measure_costs(ORDERS):
        table.add_row(cost.step, f"{cost.microseconds:.1f} µs")
    limits = OrderLimits()
    rate_per_s = REQUESTS_PER_S * ORDER_SHARE / INSTANCES
    for skew in SKEWS:
        for answer_bytes in ANSWER_BYTES:
            size_bytes = make_answer(answer_bytes).size_bytes
            retention = compute_retention(limits, rate_per_s * skew, size_bytes)
            table.add_row(
                f"{retention.orders_per_s:.2f} orders/s, bodies of {answer_bytes} B",
                f"answers {retention.answers_h:.2f} h, "
                f"numbers {retention.records_h:.2f} h",
            )
    console = Console(width=100)
    console.print(table)
    console.print(
        f"limits: {limits.max_bytes} bytes, lifetime {limits.lifetime}; "
        f"{REQUESTS_PER_S} requests/s over {INSTANCES} instances, "
        f"{ORDER_SHARE:.0%} of them orders"
    )


if __name__ == "__main__":
    main()
