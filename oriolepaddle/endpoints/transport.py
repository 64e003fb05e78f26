"""HTTP transport to endpoints and other instances, based on pycurl."""

from datetime import timedelta

import pycurl

from oriolepaddle.clock import Clock
from oriolepaddle.endpoints.cancellation import Cancellation
from oriolepaddle.endpoints.exchange import CurlExchange
from oriolepaddle.endpoints.handles import HandlePool
from oriolepaddle.endpoints.request import ConnectionReuse, EndpointRequest
from oriolepaddle.endpoints.sink import AnswerSink
from oriolepaddle.endpoints.watchdog import DEFAULT_INTERVAL, ExchangeWatchdog
from oriolepaddle.errors import EndpointDeadlineError, Outcome

__all__ = ["EndpointTransport"]


class EndpointTransport:
    """Runs one attempt of a request on the calling thread, reusing connections.

    Args:
        clock: Clock for the timeouts.
        connect_timeout: Maximum time to establish a connection.
        max_connection_idle: Idle time after which a connection is not reused,
            since a middlebox on the path may have dropped its state.
        inspection_interval: Time between two inspections of a running attempt.
        max_received_bytes: What the kernel may queue of an answer, 0 for its default.
    """

    def __init__(
        self,
        clock: Clock,
        connect_timeout: timedelta = timedelta(seconds=1),
        max_connection_idle: timedelta = timedelta(seconds=20),
        inspection_interval: timedelta = DEFAULT_INTERVAL,
        max_received_bytes: int = 0,
    ) -> None:
        self._clock = clock
        self._connect_timeout = connect_timeout
        self._handles = HandlePool(
            clock, max_connection_idle, max_received_bytes=max_received_bytes
        )
        self._watchdog = ExchangeWatchdog(clock, inspection_interval)

    def run(
        self,
        address: str,
        request: EndpointRequest,
        sink: AnswerSink,
        cancellation: Cancellation | None = None,
    ) -> None:
        """Send a request and pass its answer to `sink`.

        Args:
            address: `host:port` of the endpoint or instance.
            request: Request to send.
            sink: Receives the answer; its errors cancel the attempt and are raised.
            cancellation: Cancels the attempt from another thread; its error is raised.

        Raises:
            EndpointUnreachableError: No connection was established.
            EndpointTimeoutError: A timeout or the deadline expired.
            EndpointFailedError: The connection broke.
            AnswerTruncatedError: The answer ended before it was complete.
        """
        remaining_s = request.deadline_s - self._clock.monotonic_s()
        if remaining_s <= 0:
            raise EndpointDeadlineError(
                "the request's deadline passed before it was sent",
                outcome=Outcome.NOT_RUN,
            )
        reuse_only_if_surely_open = request.reuse is ConnectionReuse.IF_SURELY_OPEN
        reuse_only_if_surely_open = (
            reuse_only_if_surely_open and not request.is_idempotent
        )
        handle = self._handles.acquire(address, reuse_only_if_surely_open)
        exchange = CurlExchange(handle, self._clock, request, sink)
        self._set_options(handle.curl, address, request)
        handle.curl.setopt(pycurl.TIMEOUT_MS, max(1, int(remaining_s * 1000)))
        is_reusable = False
        self._watchdog.add(exchange)
        try:
            if cancellation is not None:
                cancellation.attach(exchange.cancel)
            exchange.perform()
            is_reusable = True
        finally:
            self._watchdog.remove(exchange)
            if is_reusable:
                self._handles.release(address, handle)
            else:
                handle.close()

    def close(self) -> None:
        """Stop the watchdog and close the idle connections."""
        self._watchdog.close()
        self._handles.close_all()

    @property
    def idle_count(self) -> int:
        """The number of idle connections."""
        return self._handles.idle_count

    def close_expired(self) -> int:
        """Close the connections that are idle for too long; return their number."""
        return self._handles.close_expired()

    def close_idle(self) -> int:
        """Close all idle connections; return their number."""
        return self._handles.close_all()

    def _set_options(
        self, handle: pycurl.Curl, address: str, request: EndpointRequest
    ) -> None:
        handle.setopt(pycurl.URL, f"http://{address}/")
        # libcurl would normalise the path of a URL.
        handle.setopt(pycurl.REQUEST_TARGET, request.path)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.FOLLOWLOCATION, 0)
        handle.setopt(pycurl.TCP_KEEPALIVE, 1)
        handle.setopt(pycurl.TCP_KEEPIDLE, 5)
        handle.setopt(pycurl.TCP_KEEPINTVL, 5)
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, _to_ms(self._connect_timeout))
        reuses_only_if_idempotent = request.reuse is ConnectionReuse.IF_IDEMPOTENT
        if reuses_only_if_idempotent and not request.is_idempotent:
            # The endpoint may have closed an idle connection, which would make the
            # outcome unknown without need.
            handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.CUSTOMREQUEST, request.method)
        if request.method == "HEAD":
            handle.setopt(pycurl.NOBODY, 1)
        elif request.body or request.method in ("POST", "PUT", "PATCH"):
            handle.setopt(pycurl.POST, 1)
            handle.setopt(pycurl.POSTFIELDSIZE, len(request.body))
            handle.setopt(pycurl.POSTFIELDS, request.body)
            handle.setopt(pycurl.CUSTOMREQUEST, request.method)
        headers = [_write_field(name, value) for name, value in request.headers]
        if request.id:
            headers.append(_write_field("X-Request-Id", request.id))
        headers.append(b"Expect:")
        handle.setopt(pycurl.HTTPHEADER, headers)


def _write_field(name: str, value: str) -> bytes:
    # libcurl takes a field with nothing after its colon as one to leave out.
    return f"{name}: {value}".encode() if value.strip() else f"{name};".encode()


def _to_ms(duration: timedelta) -> int:
    return int(duration.total_seconds() * 1000)
