"""A fake network that delivers, loses, duplicates, delays and cuts calls."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from oriolepaddle.errors import PeerTimeoutError, PeerUnavailableError
from oriolepaddle.peers import PeerService

__all__ = ["FakeCaller", "FakeNetwork", "Fault"]

# Size of the multiplexed method name and message header, the frame length, and the
# IP and TCP headers of one segment and one acknowledgement.
OVERHEAD_BYTES = 24 + 4 + 2 * 52


@attrs.frozen
class Fault:
    """A fault of one call.

    Attributes:
        is_lost: Whether the request does not arrive.
        is_reply_lost: Whether the request is handled but its reply does not arrive.
        is_doubled: Whether the request is handled twice.
        is_delayed: Whether the request is delayed until `FakeNetwork.deliver`.
    """

    is_lost: bool = False
    is_reply_lost: bool = False
    is_doubled: bool = False
    is_delayed: bool = False


NO_FAULT = Fault()


class FakeNetwork:
    """Delivers calls between registered handlers."""

    def __init__(self) -> None:
        self.handlers: dict[str, object] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.faults: list[Fault] = []
        self.method_faults: dict[str, Fault] = {}
        self.before_reply: Callable[[], None] | None = None
        self.delayed: list[Callable[[], None]] = []
        self.sent_bytes: dict[str, int] = {}
        self.calls = 0

    def is_open(self, source: str, target: str) -> bool:
        """Return whether calls and their replies pass between two instances."""
        is_cut = (source, target) in self.cuts or (target, source) in self.cuts
        return target in self.handlers and not is_cut

    def cut(self, sources: set[str], targets: set[str], both: bool = True) -> None:
        """Cut the connections from some instances to others."""
        for source in sources:
            for target in targets:
                self.cuts.add((source, target))
                if both:
                    self.cuts.add((target, source))

    def deliver(self, index: int) -> None:
        """Deliver a delayed request; its reply is discarded."""
        self.delayed.pop(index)()

    def call(
        self, source: str, target: str, service: PeerService, method: str, request: Any
    ) -> Any:
        """Deliver one call, encoded and decoded as on the wire."""
        fault = self.method_faults.get(method, NO_FAULT)
        if self.faults:
            fault = self.faults.pop(0)
        self.calls += 1
        if target not in self.handlers or (source, target) in self.cuts:
            raise PeerUnavailableError(f"{target} cannot be reached from {source}")
        if fault.is_lost:
            raise PeerTimeoutError("the request was lost")
        sent = self._copy(request, source)
        if fault.is_delayed:
            self.delayed.append(lambda: self._handle(target, method, sent))
            raise PeerTimeoutError("the request is delayed")
        if fault.is_doubled:
            self._handle(target, method, self._copy(request, source))
        reply = self._copy(self._handle(target, method, sent), target)
        if self.before_reply is not None:
            self.before_reply()
        if fault.is_reply_lost or (target, source) in self.cuts:
            raise PeerTimeoutError("the reply was lost")
        return reply

    def _handle(self, target: str, method: str, request: Any) -> Any:
        handler = self.handlers.get(target)
        return getattr(handler, method)(request) if handler is not None else None

    def _copy(self, message: Any, sender: str) -> Any:
        buffer = TMemoryBuffer()
        message.write(TCompactProtocolAccelerated(buffer))
        encoded = buffer.getvalue()
        size = len(encoded) + OVERHEAD_BYTES
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size
        copy = type(message)()
        copy.read(TCompactProtocolAccelerated(TMemoryBuffer(encoded)))
        return copy


@attrs.frozen
class FakeCaller:
    """The `PeerCaller` of one instance on a fake network.

    Attributes:
        network: The network.
        instance: The calling instance.
    """

    network: FakeNetwork
    instance: str

    def call(
        self,
        instance: str,
        service: PeerService,
        method: str,
        request: Any,
        timeout: timedelta,
    ) -> Any:
        """Call a method of another instance; see `PeerCaller.call`."""
        return self.network.call(self.instance, instance, service, method, request)
