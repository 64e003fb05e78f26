"""Orders: non-idempotent requests that run at most once."""

from oriolepaddle.orders._wire import ORDERS_SERVICE
from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.orders.answered import AnsweredOrder, AnsweredOrders
from oriolepaddle.orders.archive import OrderArchive
from oriolepaddle.orders.codec import OrderNumberCodec
from oriolepaddle.orders.forward_event import ForwardEvent
from oriolepaddle.orders.forwarder import OrderForwarder
from oriolepaddle.orders.handler import OrderHandler
from oriolepaddle.orders.handover import OrderHandover
from oriolepaddle.orders.limits import OrderLimits
from oriolepaddle.orders.number import OrderNumber
from oriolepaddle.orders.registry import OrderRegistry
from oriolepaddle.orders.request import MAX_BODY_BYTES, OrderRequest
from oriolepaddle.orders.runner import OrderRunner

__all__ = [
    "MAX_BODY_BYTES",
    "ORDERS_SERVICE",
    "ForwardEvent",
    "AnsweredOrder",
    "AnsweredOrders",
    "OrderAnswer",
    "OrderArchive",
    "OrderForwarder",
    "OrderHandler",
    "OrderHandover",
    "OrderLimits",
    "OrderNumber",
    "OrderNumberCodec",
    "OrderRegistry",
    "OrderRequest",
    "OrderRunner",
]
