"""Cost of orders, measured with `experiments.orders`."""

from experiments.capacity.series import Series
from experiments.orders.measurement import measure_costs, measure_record_bytes

__all__ = ["measure_orders"]

ORDERS = (1_000, 2_000, 4_000)
ANSWER_BYTES = 1_000
STEPS = {
    "order_issue": "issue a number",
    "order_run": "run an order",
    "order_repeat": "answer a repeat",
}


def measure_orders() -> dict[str, Series]:
    """Return the series of wall time per order and of memory."""
    runs = [
        {cost.step: cost.microseconds for cost in measure_costs(orders)}
        for orders in ORDERS
    ]
    series_by_name = {
        name: Series(
            f"{step} (wall)", "orders", "us", ORDERS, tuple(run[step] for run in runs)
        )
        for name, step in STEPS.items()
    }
    series_by_name["order_memory"] = Series.measure(
        "memory of orders with 1,000 B",
        "orders",
        "B",
        ORDERS,
        lambda orders: orders * measure_record_bytes(orders, ANSWER_BYTES),
    )
    return series_by_name
