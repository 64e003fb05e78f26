"""The interface through which the issuer runs a forwarded order."""

from collections.abc import Callable
from typing import Protocol

from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.orders.request import OrderRequest

__all__ = ["OrderRunner"]


class OrderRunner(Protocol):
    """Sends orders to endpoints, never to other instances."""

    def check(self, request: OrderRequest) -> None:
        """Check that the key and the residency of an order allow running it now.

        Raises:
            RefusedError: They do not.
        """
        ...

    def run(self, request: OrderRequest, recheck: Callable[[], None]) -> OrderAnswer:
        """Send an order to one endpoint, once, and return its complete answer.

        Args:
            request: The order.
            recheck: Must be called after connecting and just before the first
                byte is sent; it raises if the order may not be run.

        Raises:
            OriolepaddleError: Its outcome is `NOT_RUN` only if no endpoint ran
                the order and none will.
        """
        ...
