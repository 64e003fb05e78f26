"""A single-threaded load client for many concurrent streams."""

import selectors
import socket

import attrs
from hdrh.histogram import HdrHistogram

from experiments.overhead.stream import ClientStream, make_request
from oriolepaddle.addresses import split_address
from oriolepaddle.clock import Clock

__all__ = ["LoadClient", "LoadResult"]

HISTOGRAM_MAX_US = 60_000_000
SIGNIFICANT_DIGITS = 3
POLL_INTERVAL_S = 0.002
DRAIN_TIMEOUT_S = 60.0
READ_BYTES = 65_536


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, HISTOGRAM_MAX_US, SIGNIFICANT_DIGITS)


@attrs.define
class LoadResult:
    """Measurements of the client after the warm-up.

    Attributes:
        first_byte_us: Time to the first byte of the first event in microseconds.
        token_delay_us: Time from the engine's send of a token to its arrival, in
            microseconds.
        sent: Requests sent, including those of the warm-up.
        rejected: Requests whose status was not 200, including the warm-up.
        truncated: Requests whose answer lacked the final `[DONE]` event, including
            the warm-up.
        tokens: Tokens received.
        peak_open: Maximum number of concurrently open streams.
        measured_s: Length of the measurement in seconds.
    """

    first_byte_us: HdrHistogram = attrs.field(factory=_make_histogram)
    token_delay_us: HdrHistogram = attrs.field(factory=_make_histogram)
    sent: int = 0
    rejected: int = 0
    truncated: int = 0
    tokens: int = 0
    peak_open: int = 0
    measured_s: float = 0.0


class LoadClient:
    """Sends requests at a fixed rate, independent of the answers (open loop).

    Args:
        clock: Source of the time.
        address: `host:port` to call.
        key: The caller's key.
        tokens: Number of tokens requested for each answer.
    """

    def __init__(self, clock: Clock, address: str, key: str, tokens: int) -> None:
        self._clock = clock
        self._server_address = split_address(address)
        self._request = make_request(address, key, tokens)
        self._selector = selectors.DefaultSelector()
        self._open: set[ClientStream] = set()
        self._result = LoadResult()
        self._measure_from_s = 0.0

    def run(self, rate_per_s: float, warm_up_s: float, measure_s: float) -> LoadResult:
        """Send during the warm-up and the measurement, then drain the open streams.

        Args:
            rate_per_s: Requests a second.
            warm_up_s: Length of the warm-up, whose delays are not recorded, in seconds.
            measure_s: Length of the measurement in seconds.
        """
        start_s = self._clock.monotonic_s()
        self._measure_from_s = start_s + warm_up_s
        end_s = self._measure_from_s + measure_s
        count = int(rate_per_s * (warm_up_s + measure_s))
        for number in range(count):
            self._receive_until(start_s + number / rate_per_s)
            self._send()
        self._result.measured_s = measure_s
        self._receive_until(end_s)
        self._drain(end_s)
        return self._result

    def _drain(self, end_s: float) -> None:
        self._measure_from_s = float("inf")
        while self._open and self._clock.monotonic_s() < end_s + DRAIN_TIMEOUT_S:
            self._receive_until(self._clock.monotonic_s() + POLL_INTERVAL_S)
        for stream in list(self._open):
            self._finish(stream)

    def _receive_until(self, until_s: float) -> None:
        while True:
            remaining_s = until_s - self._clock.monotonic_s()
            if remaining_s <= 0:
                return
            for key, _ in self._selector.select(min(remaining_s, 1.0)):
                self._receive(key.data)

    def _send(self) -> None:
        connection = socket.create_connection(self._server_address)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        now_s = self._clock.monotonic_s()
        connection.sendall(self._request)
        stream = ClientStream(connection, now_s)
        self._open.add(stream)
        self._selector.register(connection, selectors.EVENT_READ, stream)
        self._result.sent += 1
        self._result.peak_open = max(self._result.peak_open, len(self._open))

    def _receive(self, stream: ClientStream) -> None:
        try:
            data = stream.connection.recv(READ_BYTES)
        except OSError:
            data = b""
        if not data:
            self._finish(stream)
            return
        had_first_byte = stream.first_byte_s is not None
        now_s = self._clock.monotonic_s()
        delays = stream.feed(data, now_s)
        if now_s >= self._measure_from_s:
            self._count(stream, delays, had_first_byte)

    def _count(
        self, stream: ClientStream, delays: list[float], had_first_byte: bool
    ) -> None:
        result = self._result
        result.tokens += len(delays)
        for delay_s in delays:
            result.token_delay_us.record_value(max(1, int(delay_s * 1e6)))
        if stream.first_byte_s is not None and not had_first_byte:
            elapsed_s = stream.first_byte_s - stream.started_s
            result.first_byte_us.record_value(max(1, int(elapsed_s * 1e6)))

    def _finish(self, stream: ClientStream) -> None:
        self._selector.unregister(stream.connection)
        stream.connection.close()
        self._open.discard(stream)
        if stream.status != 200:
            self._result.rejected += 1
        elif not stream.is_done:
            self._result.truncated += 1
