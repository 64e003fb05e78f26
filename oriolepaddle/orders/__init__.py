"""Orders: non-idempotent requests, each run at most once."""

from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.orders.codec import OrderNumberCodec
from oriolepaddle.orders.kept import KeptOrder
from oriolepaddle.orders.limits import OrderLimits
from oriolepaddle.orders.number import OrderNumber
from oriolepaddle.orders.registry import OrderRegistry
from oriolepaddle.orders.request import MAX_BODY_BYTES, OrderRequest

__all__ = [
    "MAX_BODY_BYTES",
    "KeptOrder",
    "OrderAnswer",
    "OrderLimits",
    "OrderNumber",
    "OrderNumberCodec",
    "OrderRegistry",
    "OrderRequest",
]
