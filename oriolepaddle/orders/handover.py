"""The graceful leave of an issuer: its kept answers go to successors."""

from collections.abc import Iterator
from datetime import timedelta

from loguru import logger

from oriolepaddle.errors import PeerError
from oriolepaddle.membership import MembershipView
from oriolepaddle.orders._wire import ORDERS_SERVICE, write_kept
from oriolepaddle.orders.kept import KeptOrder
from oriolepaddle.orders.limits import RECORD_BYTES
from oriolepaddle.orders.registry import OrderRegistry
from oriolepaddle.orders.successors import rank_successors
from oriolepaddle.peers import PeerCaller
from oriolepaddle.peers.gen_py.orders import ttypes

__all__ = ["OrderHandover"]

SUCCESSORS = 2
MAX_BATCH_BYTES = 1_000_000
CALL_TIMEOUT = timedelta(seconds=5)
MILLISECOND = timedelta(milliseconds=1)


class OrderHandover:
    """Hands the answered orders of a draining registry to its successors.

    Args:
        registry: The registry that leaves.
        peers: Calls other instances.
        view: The fleet as this instance sees it.
        lifetime: How long the successors are to keep the answers.
    """

    def __init__(
        self,
        registry: OrderRegistry,
        peers: PeerCaller,
        view: MembershipView,
        lifetime: timedelta,
    ) -> None:
        self._registry = registry
        self._peers = peers
        self._view = view
        self._lifetime = lifetime

    def leave(self, timeout: timedelta) -> tuple[str, ...]:
        """Drain, then hand over; return the successors that kept everything.

        Args:
            timeout: The longest wait for orders in flight.
        """
        left = self._registry.drain(timeout)
        if left:
            logger.warning("leaving with {} orders in flight", left)
        orders = self._registry.answered()
        successors = []
        for instance in rank_successors(self._view, self._view.identity):
            if len(successors) == SUCCESSORS:
                break
            if self._hand(instance, orders):
                successors.append(instance)
        return tuple(successors)

    def _hand(self, instance: str, orders: tuple[KeptOrder, ...]) -> bool:
        try:
            for batch in _batches(orders):
                call = self._make_call(batch)
                self._peers.call(instance, ORDERS_SERVICE, "keep", call, CALL_TIMEOUT)
        except PeerError as error:
            logger.warning("orders not handed to {}: {}", instance, error)
            return False
        return True

    def _make_call(self, batch: list[KeptOrder]) -> ttypes.HandoverCall:
        identity = self._view.identity
        return ttypes.HandoverCall(
            instance=identity.instance,
            incarnation=identity.incarnation,
            life=self._registry.life,
            remaining_ms=self._lifetime // MILLISECOND,
            orders=[write_kept(order) for order in batch],
        )


def _batches(orders: tuple[KeptOrder, ...]) -> Iterator[list[KeptOrder]]:
    batch: list[KeptOrder] = []
    size_bytes = 0
    for order in orders:
        size_bytes += RECORD_BYTES + (order.answer.size_bytes if order.answer else 0)
        if batch and size_bytes > MAX_BATCH_BYTES:
            yield batch
            batch, size_bytes = [], 0
        batch.append(order)
    if batch:
        yield batch
