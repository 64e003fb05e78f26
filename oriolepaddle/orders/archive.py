"""Answered orders that a successor stores for issuers that left."""

import threading
from collections import OrderedDict
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.orders._errors import (
    answer_not_stored_error,
    conflict_error,
    outcome_unknown_error,
)
from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.orders.answered import AnsweredOrder, AnsweredOrders
from oriolepaddle.orders.limits import RECORD_BYTES
from oriolepaddle.orders.number import OrderNumber
from oriolepaddle.peers import PeerIdentity

__all__ = ["OrderArchive"]

IssuerKey = tuple[str, int, int]


@attrs.define(eq=False)
class _IssuerOrders:
    issuer: PeerIdentity
    expires_s: float
    orders: dict[tuple[str, int], AnsweredOrder] = attrs.field(factory=dict)
    size_bytes: int = 0


class OrderArchive:
    """Answers repeats of orders whose issuer left. Thread-safe.

    It never runs an order.

    Args:
        clock: The source of time.
        max_bytes: The limit on the accounted size; the orders of the issuer that
            was added first are evicted first.
    """

    def __init__(self, clock: Clock, max_bytes: int = 16_000_000) -> None:
        self._clock = clock
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._by_issuer: OrderedDict[IssuerKey, _IssuerOrders] = OrderedDict()
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """The accounted size of all stored orders, in bytes."""
        return self._size_bytes

    def store(self, orders: AnsweredOrders) -> int:
        """Store answered orders of a leaving issuer; return how many are new."""
        now_s = self._clock.monotonic_s()
        issuer = orders.issuer
        with self._lock:
            self._expire(now_s)
            key = (issuer.instance, issuer.incarnation, orders.boot_id)
            stored = self._by_issuer.setdefault(key, _IssuerOrders(issuer, now_s))
            expires_s = now_s + orders.remaining.total_seconds()
            stored.expires_s = max(stored.expires_s, expires_s)
            added = sum(self._add(stored, order) for order in orders.orders)
            while self._size_bytes > self._max_bytes:
                self._drop(next(iter(self._by_issuer)))
            return added

    def contents(self) -> tuple[AnsweredOrders, ...]:
        """Return all stored orders, for a successor when this instance leaves."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._expire(now_s)
            return tuple(
                AnsweredOrders(
                    issuer=stored.issuer,
                    boot_id=boot_id,
                    remaining=timedelta(seconds=stored.expires_s - now_s),
                    orders=tuple(stored.orders.values()),
                )
                for (_, _, boot_id), stored in self._by_issuer.items()
            )

    def find(
        self, number: OrderNumber, organisation: str, digest: bytes
    ) -> OrderAnswer:
        """Return the answer of an order.

        Raises:
            RefusedError: The number was used for another request.
            OrderError: The order is not stored here, or it has no stored answer.
        """
        issuer = number.issuer
        with self._lock:
            self._expire(self._clock.monotonic_s())
            stored = self._by_issuer.get(
                (issuer.instance, issuer.incarnation, number.boot_id)
            )
            key = (organisation, number.sequence)
            order = None if stored is None else stored.orders.get(key)
        if order is None:
            raise outcome_unknown_error("its issuer has left or restarted")
        if order.digest != digest:
            raise conflict_error()
        if order.answer is None:
            raise answer_not_stored_error()
        return order.answer

    def _add(self, stored: _IssuerOrders, order: AnsweredOrder) -> bool:
        key = (order.organisation, order.sequence)
        if key in stored.orders:
            return False
        stored.orders[key] = order
        size_bytes = RECORD_BYTES + (order.answer.size_bytes if order.answer else 0)
        stored.size_bytes += size_bytes
        self._size_bytes += size_bytes
        return True

    def _expire(self, now_s: float) -> None:
        for key in [
            k for k, stored in self._by_issuer.items() if stored.expires_s <= now_s
        ]:
            self._drop(key)

    def _drop(self, key: IssuerKey) -> None:
        self._size_bytes -= self._by_issuer.pop(key).size_bytes
