"""The whole fault matrix."""

from oriolepaddle.faults.row import Row
from oriolepaddle.faults.rows import configuration, fleet, limits, orders, requests

__all__ = ["ROWS"]

ROWS: tuple[Row, ...] = (
    *requests.ROWS,
    *orders.ROWS,
    *configuration.ROWS,
    *limits.ROWS,
    *fleet.ROWS,
)
