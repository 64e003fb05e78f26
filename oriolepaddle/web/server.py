"""The listener and its bounded pool of threads."""

import contextlib
import select
import ssl
import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from socket import SHUT_RDWR, create_server, socket

from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.web.application import Application
from oriolepaddle.web.connection import HttpConnection
from oriolepaddle.web.limits import ServerLimits
from oriolepaddle.web.syn_filter import drop_new_connections
from oriolepaddle.web.writer import AnswerWriter

__all__ = ["HttpServer"]

BACKLOG = 512
ACCEPT_INTERVAL = timedelta(milliseconds=100)
CLOSE_GRACE = timedelta(seconds=1.5)
REFUSAL_TIMEOUT = timedelta(milliseconds=50)
REFUSAL_TRIES = 4


class HttpServer:
    """Serves each connection on a thread of a bounded pool.

    When all threads are taken, the connection that has been idle for longest
    is closed; if none is idle, the new connection is refused with a code.

    Args:
        host: The IP number to listen on.
        port: The port, or 0 for any free one.
        application: What answers the requests.
        clock: Tells the time for the limits.
        limits: The bounds on connections and requests.
        tls: The TLS context, or None for plain TCP.
        name: A name for threads and logs.
        accept_interval: How soon the acceptor notices that it is to stop.
    """

    multithread = True
    multiprocess = False

    def __init__(
        self,
        host: str,
        port: int,
        application: Application,
        clock: Clock,
        limits: ServerLimits | None = None,
        tls: ssl.SSLContext | None = None,
        name: str = "http",
        accept_interval: timedelta = ACCEPT_INTERVAL,
    ) -> None:
        self.application = application
        self.clock = clock
        self.limits = limits or ServerLimits()
        self.ssl_context = tls
        self.is_draining = False
        self.is_closed = False
        self._is_stopping = False
        self.refused_connections = 0
        self._listener = create_server((host, port), backlog=BACKLOG)
        self.server_address = self._listener.getsockname()
        self.port = self.server_address[1]
        self._name = name
        self._accept_interval = accept_interval
        self._executor = ThreadPoolExecutor(self.limits.max_connections, name)
        self._free = threading.Semaphore(self.limits.max_connections)
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._connections: set[HttpConnection] = set()
        self._acceptor = threading.Thread(
            target=self._accept, name=f"{name}-accept", daemon=True
        )

    def start(self) -> None:
        """Begin to accept connections."""
        self._acceptor.start()

    def stop_accepting(self) -> None:
        """Close the listener and the idle connections; answers go on.

        Connections that the kernel has taken already are served, so that none
        is reset before its request was read.
        """
        self.is_draining = True
        self._is_stopping = True
        if self._acceptor.is_alive():
            self._acceptor.join()
        self._listener.close()
        self._close_idle(count=self.limits.max_connections)

    def close(self) -> None:
        """Let begun requests end for a moment, then close all connections."""
        self.stop_accepting()
        with self._changed:
            self._changed.wait_for(
                lambda: not self._connections, CLOSE_GRACE.total_seconds()
            )
        self.is_closed = True
        self.drop_connections()
        self._executor.shutdown(wait=True)

    def drop_connections(self) -> None:
        """Break off every open connection; the listener goes on."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.connection.shutdown(SHUT_RDWR)

    def add(self, connection: HttpConnection) -> None:
        """Note a connection that is being served."""
        with self._lock:
            self._connections.add(connection)

    def _accept(self) -> None:
        poller = select.poll()
        poller.register(self._listener, select.POLLIN)
        interval_ms = self._accept_interval.total_seconds() * 1000
        while not self._is_stopping:
            if poller.poll(interval_ms):
                self._accept_one()
        drop_new_connections(self._listener)
        while poller.poll(ACCEPT_INTERVAL.total_seconds() * 1000):
            self._accept_one()
        self._listener.close()

    def _accept_one(self) -> None:
        try:
            connection, address = self._listener.accept()
        except OSError as error:
            logger.warning("{} cannot accept: {}", self._name, error)
            return
        if self._reserve_thread():
            self._executor.submit(self._serve, connection, address)
        else:
            self._refuse(connection)

    def _reserve_thread(self) -> bool:
        if self._free.acquire(blocking=False):
            return True
        # A connection whose answer was just read becomes idle a moment later.
        for _ in range(REFUSAL_TRIES):
            self._close_idle(count=1)
            if self._free.acquire(timeout=REFUSAL_TIMEOUT.total_seconds()):
                return True
        return False

    def _close_idle(self, count: int) -> int:
        with self._lock:
            idle = [item for item in self._connections if item.is_idle]
        idle.sort(key=lambda item: item.idle_since_s)
        closed = 0
        for connection in idle:
            if closed == count:
                break
            closed += connection.close_if_idle()
        return closed

    def _refuse(self, connection: socket) -> None:
        self.refused_connections += 1
        error = RefusedError(
            "all connections are in use",
            code=ErrorCode.OVERLOADED,
            retry_after=timedelta(seconds=1),
        )
        writer = AnswerWriter(connection, REFUSAL_TIMEOUT)
        writer.keep_alive = False
        with contextlib.suppress(OSError):
            if self.ssl_context is None:
                writer.answer_error(error, request_id="")
        connection.close()

    def _serve(self, connection: socket, address: tuple) -> None:
        served = connection
        try:
            served = self._wrap(connection)
            _TrackedConnection(served, address, self)
        except (OSError, ssl.SSLError) as error:
            logger.debug("{} connection failed: {}", self._name, error)
        finally:
            served.close()
            self._free.release()

    def _wrap(self, connection: socket) -> socket:
        if self.ssl_context is None:
            return connection
        connection.settimeout(self.limits.header_timeout.total_seconds())
        return self.ssl_context.wrap_socket(connection, server_side=True)

    def _forget(self, connection: HttpConnection) -> None:
        with self._changed:
            self._connections.discard(connection)
            self._changed.notify_all()


class _TrackedConnection(HttpConnection):
    """A connection that its server knows of while it is served."""

    def setup(self) -> None:
        """Wrap the socket and let the server know of it."""
        super().setup()
        self.server.add(self)

    def finish(self) -> None:
        """Let the server forget the connection."""
        self.server._forget(self)
        super().finish()
