"""Measurements of the order registry, handler and forwarder."""

import gc
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from typing import Any

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolFactory
from thrift.TSerialization import deserialize, serialize

from oriolepaddle.clock import ManualClock, SystemClock
from oriolepaddle.orders import (
    OrderAnswer,
    OrderArchive,
    OrderForwarder,
    OrderHandler,
    OrderLimits,
    OrderNumberCodec,
    OrderRegistry,
    OrderRequest,
)
from oriolepaddle.orders.limits import LEDGER_BYTES, RECORD_BYTES
from oriolepaddle.peers import PeerIdentity, PeerService
from oriolepaddle.publication import InstanceList

__all__ = ["StepCost", "make_answer", "measure_costs", "measure_record_bytes"]

SECRET = b"experiment"
DIGEST = bytes(32)
HEADER_COUNT = 4
ORGANISATIONS = 23_000
ISSUER = PeerIdentity("issuer", 1, "dc-1")
FORWARDING_INSTANCE = PeerIdentity("other", 1, "dc-1")


@attrs.frozen
class StepCost:
    """The mean time of one step.

    Attributes:
        step: Name of the measured step.
        microseconds: Mean wall time of one step in microseconds.
    """

    step: str
    microseconds: float


class _Loopback:
    """An in-process peer caller, membership view and order runner.

    Requests and replies are serialised and parsed again, as between peers.
    """

    identity = FORWARDING_INSTANCE

    def __init__(self, handler: OrderHandler | None = None) -> None:
        self.handler = handler

    def published(self) -> InstanceList:
        """Return an empty instance list."""
        return InstanceList((), 1, 0.0)

    def call(
        self,
        instance: str,
        service: PeerService,
        method: str,
        request: Any,
        timeout: timedelta,
    ) -> Any:
        """Call the handler with a serialised copy of the request."""
        return _round_trip(getattr(self.handler, method)(_round_trip(request)))

    def check(self, request: OrderRequest) -> None:
        """Allow every order."""
        return

    def run(self, request: OrderRequest, recheck: Callable[[], None]) -> OrderAnswer:
        """Return an answer at once."""
        recheck()
        return make_answer(1_000)


def measure_record_bytes(
    orders: int, answer_bytes: int | None, organisations: int = 1
) -> float:
    """Return the measured memory in bytes for each used order number.

    Args:
        orders: Number of orders that are run.
        answer_bytes: Length of each stored body; if None, no answer is stored.
        organisations: Number of organisations that send the orders in turn.
    """
    max_answer_bytes = 0 if answer_bytes is None else 10**9
    limits = OrderLimits(max_bytes=10**12, max_answer_bytes=max_answer_bytes)
    registry = _make_registry(limits)
    names = [_organisation(i % organisations) for i in range(orders)]
    numbers = [registry.issue(name) for name in names]
    gc.collect()
    tracemalloc.start()
    for i, number in enumerate(numbers):
        # Each order has its own digest and body objects, as requests do, so that
        # their memory is measured too.
        digest = i.to_bytes(32, "big")
        registry.run(number, names[i], digest, lambda: make_answer(answer_bytes))
    gc.collect()
    measured_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return measured_bytes / orders


def measure_costs(orders: int) -> list[StepCost]:
    """Return the mean time of each step over a number of orders."""
    registry = _make_registry(OrderLimits(max_bytes=10**12))
    numbers: list[str] = []
    steps = [
        ("issue a number", lambda i: numbers.append(registry.issue(_organisation(i)))),
        ("run an order", lambda i: _run(registry, numbers[i], i)),
        ("answer a repeat", lambda i: _run(registry, numbers[i], i)),
    ]
    costs = [_measure_step(step, work, orders) for step, work in steps]
    costs += [_measure_full_registry(orders, count) for count in (1, ORGANISATIONS)]
    costs += _measure_forward(orders // 10)
    return costs


def _measure_full_registry(orders: int, organisations: int) -> StepCost:
    """Time orders at a full registry, which evicts stored answers."""
    answer_bytes = make_answer(1_000).size_bytes + RECORD_BYTES
    max_bytes = orders // 2 * answer_bytes + organisations * LEDGER_BYTES
    limits = OrderLimits(max_bytes=max_bytes)
    registry = _make_registry(limits)
    names = [_organisation(i % organisations) for i in range(orders)]
    numbers = [registry.issue(name) for name in names]

    def run(i: int) -> None:
        """Run one order."""
        registry.run(numbers[i], names[i], DIGEST, lambda: make_answer(1_000))

    for i in range(orders // 2):
        run(i)
    return _measure_step(
        f"run an order when full, {organisations} organisations",
        lambda i: run(i + orders // 2),
        orders // 2,
    )


def _measure_forward(orders: int) -> list[StepCost]:
    clock = SystemClock()
    registry = _make_registry(OrderLimits())
    codec = OrderNumberCodec((SECRET,))
    archive = OrderArchive(clock)
    loopback = _Loopback()
    forwarder = OrderForwarder(
        loopback, codec, loopback, archive, clock, lambda request, data_centre: True
    )
    request = OrderRequest(
        request_id="r",
        organisation="o",
        key_digest="k",
        method="POST",
        path="/services/desk/stays",
        headers=(("content-type", "application/json"),),
        body=bytes(1_000),
        deadline_s=clock.monotonic_s() + 3_600,
    )
    numbers = [registry.issue("o") for _ in range(orders)]
    with ThreadPoolExecutor(4) as executor:
        loopback.handler = OrderHandler(registry, archive, loopback, executor, clock)

        def forward(i: int) -> None:
            """Forward one order."""
            forwarder.forward(numbers[i], request)

        return [
            _measure_step("pass an order on and run it", forward, orders),
            _measure_step("pass a repeat on", forward, orders),
        ]


def _run(registry: OrderRegistry, number: str, i: int) -> None:
    registry.run(number, _organisation(i), DIGEST, lambda: make_answer(1_000))


def _measure_step(step: str, work: Callable[[int], Any], times: int) -> StepCost:
    clock = SystemClock()
    started_s = clock.monotonic_s()
    for i in range(times):
        work(i)
    return StepCost(step, (clock.monotonic_s() - started_s) / times * 1e6)


def _make_registry(limits: OrderLimits) -> OrderRegistry:
    codec = OrderNumberCodec((SECRET,))
    return OrderRegistry(ISSUER, codec, ManualClock(), limits, boot_id=1)


def _organisation(i: int) -> str:
    return f"organisation-{i % ORGANISATIONS}"


def make_answer(body_bytes: int | None) -> OrderAnswer:
    """Return an answer with newly created strings, as a parser makes them.

    Args:
        body_bytes: Length of the body; None means 0.
    """
    headers = tuple((f"x-{i}", f"{i}-" + "v" * 20) for i in range(HEADER_COUNT))
    return OrderAnswer(201, headers, bytes(body_bytes or 0), f"{SECRET}-request")


def _round_trip(struct: Any) -> Any:
    data = serialize(struct, TCompactProtocolFactory())
    return deserialize(type(struct)(), data, TCompactProtocolFactory())
