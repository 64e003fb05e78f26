"""The interface through which the issuer runs an order that was passed on."""

from collections.abc import Callable
from typing import Protocol

from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.orders.request import OrderRequest

__all__ = ["OrderRunner"]


class OrderRunner(Protocol):
    """Sends orders to endpoints, never to other instances."""

    def check(self, request: OrderRequest) -> None:
        """Check that an order may be run now: its key and its residency.

        Raises:
            RefusedError: It may not.
        """
        ...

    def run(self, request: OrderRequest, recheck: Callable[[], None]) -> OrderAnswer:
        """Send an order to one endpoint, once, and return its whole answer.

        Args:
            request: The order.
            recheck: To be called after a connection was made and just before
                the first byte is sent; it raises if the order may not be run.

        Raises:
            OriolepaddleError: Outcome `NOT_RUN` only if no endpoint ran the
                order and none will.
        """
        ...
