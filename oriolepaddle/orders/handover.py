"""Graceful shutdown of an issuer: transfers its stored answers to successors."""

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

SUCCESSOR_COUNT = 2
MAX_BATCH_BYTES = 1_000_000
CALL_TIMEOUT = timedelta(seconds=5)


class OrderHandover:
    """Transfers answered orders to successors when this instance shuts down.

    These are the orders that this instance issued and those that it stores for
    issuers that left earlier, so that answers survive a rolling restart.

    Args:
        registry: The registry of this instance.
        archive: The orders that this instance stores for issuers that left.
        peers: Calls other instances.
        view: This instance's view of the fleet.
        clock: The source of time.
        lifetime: How long the successors store this issuer's answers.
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
        """Drain the registry, then transfer the answered orders.

        Args:
            drain_timeout: The longest wait for orders in flight.
            handover_timeout: The time limit of the transfer, which sends the
                newest answers first.

        Returns:
            The instances that received all answered orders of this issuer.
        """
        in_flight = self._registry.drain(drain_timeout)
        if in_flight:
            logger.warning("drain timed out with {} orders in flight", in_flight)
        deadline_s = self._clock.monotonic_s() + handover_timeout.total_seconds()
        own = AnsweredOrders(
            issuer=self._view.identity,
            boot_id=self._registry.boot_id,
            remaining=self._lifetime,
            orders=self._registry.answered_orders(),
        )
        successors = self._send_to_successors(own, deadline_s)
        for answered in self._archive.contents():
            self._send_to_successors(answered, deadline_s)
        return successors

    def _send_to_successors(
        self, answered: AnsweredOrders, deadline_s: float
    ) -> tuple[str, ...]:
        successors: list[str] = []
        for instance in rank_successors(self._view, answered.issuer):
            if len(successors) == SUCCESSOR_COUNT:
                break
            if instance == self._view.identity.instance:
                continue
            if self._send(instance, answered, deadline_s):
                successors.append(instance)
        return tuple(successors)

    def _send(self, instance: str, answered: AnsweredOrders, deadline_s: float) -> bool:
        try:
            for batch in _batches(answered):
                if self._clock.monotonic_s() >= deadline_s:
                    logger.warning(
                        "handover timed out before all orders were sent to {}", instance
                    )
                    return False
                call = write_handover(batch)
                self._peers.call(instance, ORDERS_SERVICE, "keep", call, CALL_TIMEOUT)
        except PeerError as error:
            logger.warning("cannot hand orders over to {}: {}", instance, error)
            return False
        return True


def _batches(answered: AnsweredOrders) -> Iterator[AnsweredOrders]:
    batch: list[AnsweredOrder] = []
    size_bytes = 0
    newest_first = sorted(
        answered.orders, key=lambda order: order.sequence, reverse=True
    )
    for order in newest_first:
        size_bytes += _size_bytes(order)
        if batch and size_bytes > MAX_BATCH_BYTES:
            yield attrs.evolve(answered, orders=tuple(batch))
            batch, size_bytes = [], _size_bytes(order)
        batch.append(order)
    if batch:
        yield attrs.evolve(answered, orders=tuple(batch))


def _size_bytes(order: AnsweredOrder) -> int:
    return RECORD_BYTES + (order.answer.size_bytes if order.answer else 0)
