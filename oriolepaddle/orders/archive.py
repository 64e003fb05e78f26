"""What a successor keeps of instances that left."""

import threading
from collections import OrderedDict
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.orders._failures import answer_gone, conflict, unknown
from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.orders.answered import AnsweredOrder, AnsweredOrders
from oriolepaddle.orders.limits import RECORD_BYTES
from oriolepaddle.orders.number import OrderNumber
from oriolepaddle.peers import PeerIdentity

__all__ = ["OrderArchive"]

LifeKey = tuple[str, int, int]


@attrs.define(eq=False)
class _Life:
    issuer: PeerIdentity
    expires_s: float
    orders: dict[tuple[str, int], AnsweredOrder] = attrs.field(factory=dict)
    size_bytes: int = 0


class OrderArchive:
    """Answers repeats of orders whose issuer left; never runs one. Thread-safe.

    Args:
        clock: The source of time.
        max_bytes: The bound on all that is kept; the oldest goes first.
    """

    def __init__(self, clock: Clock, max_bytes: int = 16_000_000) -> None:
        self._clock = clock
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._lives: OrderedDict[LifeKey, _Life] = OrderedDict()
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """What all that is kept counts for, in bytes."""
        return self._size_bytes

    def store(self, orders: AnsweredOrders) -> int:
        """Keep answered orders of a leaving issuer; return how many are new."""
        now_s = self._clock.monotonic_s()
        issuer = orders.issuer
        with self._lock:
            self._expire(now_s)
            key = (issuer.instance, issuer.incarnation, orders.boot_id)
            held = self._lives.setdefault(key, _Life(issuer, now_s))
            expires_s = now_s + orders.remaining.total_seconds()
            held.expires_s = max(held.expires_s, expires_s)
            kept = sum(self._put(held, order) for order in orders.orders)
            while self._size_bytes > self._max_bytes:
                self._drop(next(iter(self._lives)))
            return kept

    def contents(self) -> tuple[AnsweredOrders, ...]:
        """Return all that is kept, for a successor when this instance leaves."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._expire(now_s)
            return tuple(
                AnsweredOrders(
                    issuer=held.issuer,
                    boot_id=boot_id,
                    remaining=timedelta(seconds=held.expires_s - now_s),
                    orders=tuple(held.orders.values()),
                )
                for (_, _, boot_id), held in self._lives.items()
            )

    def find(
        self, number: OrderNumber, organisation: str, digest: bytes
    ) -> OrderAnswer:
        """Return the answer of an order.

        Raises:
            RefusedError: The number was used for another request.
            OrderError: The order is not known here, or its answer is gone.
        """
        issuer = number.issuer
        with self._lock:
            self._expire(self._clock.monotonic_s())
            life = self._lives.get(
                (issuer.instance, issuer.incarnation, number.boot_id)
            )
            key = (organisation, number.sequence)
            order = None if life is None else life.orders.get(key)
        if order is None:
            raise unknown("its issuer is gone")
        if order.digest != digest:
            raise conflict()
        if order.answer is None:
            raise answer_gone()
        return order.answer

    def _put(self, life: _Life, order: AnsweredOrder) -> bool:
        key = (order.organisation, order.sequence)
        if key in life.orders:
            return False
        life.orders[key] = order
        size_bytes = RECORD_BYTES + (order.answer.size_bytes if order.answer else 0)
        life.size_bytes += size_bytes
        self._size_bytes += size_bytes
        return True

    def _expire(self, now_s: float) -> None:
        for key in [k for k, life in self._lives.items() if life.expires_s <= now_s]:
            self._drop(key)

    def _drop(self, key: LifeKey) -> None:
        self._size_bytes -= self._lives.pop(key).size_bytes
