"""The graceful leave of an issuer: its kept answers go to successors."""

from collections.abc import Iterator
from datetime import timedelta

import attrs
from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.errors import PeerError
from oriolepaddle.membership import MembershipView
from oriolepaddle.orders._wire import ORDERS_SERVICE, write_handover
from oriolepaddle.orders.answered import AnsweredOrder, AnsweredOrders
from oriolepaddle.orders.archive import OrderArchive
from oriolepaddle.orders.limits import RECORD_BYTES
from oriolepaddle.orders.registry import OrderRegistry
from oriolepaddle.orders.successors import rank_successors
from oriolepaddle.peers import PeerCaller

__all__ = ["OrderHandover"]

SUCCESSORS = 2
MAX_BATCH_BYTES = 1_000_000
CALL_TIMEOUT = timedelta(seconds=5)


class OrderHandover:
    """Hands answered orders to successors when this instance leaves.

    They are this issuer's own and those that it keeps for issuers which left
    before, so that answers outlive a rolling restart.

    Args:
        registry: The registry that leaves.
        archive: What this instance keeps of instances that left.
        peers: Calls other instances.
        view: The fleet as this instance sees it.
        clock: The source of time.
        lifetime: How long the successors are to keep the answers.
    """

    def __init__(
        self,
        registry: OrderRegistry,
        archive: OrderArchive,
        peers: PeerCaller,
        view: MembershipView,
        clock: Clock,
        lifetime: timedelta,
    ) -> None:
        self._registry = registry
        self._archive = archive
        self._peers = peers
        self._view = view
        self._clock = clock
        self._lifetime = lifetime

    def leave(
        self, drain_timeout: timedelta, handover_timeout: timedelta
    ) -> tuple[str, ...]:
        """Drain, then hand over; return who now keeps all of this issuer's.

        Args:
            drain_timeout: The longest wait for orders in flight.
            handover_timeout: The longest time for handing over; the newest
                answers go first.
        """
        left = self._registry.drain(drain_timeout)
        if left:
            logger.warning("leaving with {} orders in flight", left)
        deadline_s = self._clock.monotonic_s() + handover_timeout.total_seconds()
        own = AnsweredOrders(
            issuer=self._view.identity,
            boot_id=self._registry.boot_id,
            remaining=self._lifetime,
            orders=self._registry.answered_orders(),
        )
        successors = self._hand_to_successors(own, deadline_s)
        for kept in self._archive.contents():
            self._hand_to_successors(kept, deadline_s)
        return successors

    def _hand_to_successors(
        self, kept: AnsweredOrders, deadline_s: float
    ) -> tuple[str, ...]:
        successors: list[str] = []
        for instance in rank_successors(self._view, kept.issuer):
            if len(successors) == SUCCESSORS:
                break
            if instance == self._view.identity.instance:
                continue
            if self._hand(instance, kept, deadline_s):
                successors.append(instance)
        return tuple(successors)

    def _hand(self, instance: str, kept: AnsweredOrders, deadline_s: float) -> bool:
        try:
            for batch in _batches(kept):
                if self._clock.monotonic_s() >= deadline_s:
                    logger.warning("no time left to hand orders to {}", instance)
                    return False
                call = write_handover(batch)
                self._peers.call(instance, ORDERS_SERVICE, "keep", call, CALL_TIMEOUT)
        except PeerError as error:
            logger.warning("orders not handed to {}: {}", instance, error)
            return False
        return True


def _batches(kept: AnsweredOrders) -> Iterator[AnsweredOrders]:
    batch: list[AnsweredOrder] = []
    size_bytes = 0
    newest_first = sorted(kept.orders, key=lambda order: order.sequence, reverse=True)
    for order in newest_first:
        size_bytes += _size_bytes(order)
        if batch and size_bytes > MAX_BATCH_BYTES:
            yield attrs.evolve(kept, orders=tuple(batch))
            batch, size_bytes = [], _size_bytes(order)
        batch.append(order)
    if batch:
        yield attrs.evolve(kept, orders=tuple(batch))


def _size_bytes(order: AnsweredOrder) -> int:
    return RECORD_BYTES + (order.answer.size_bytes if order.answer else 0)
