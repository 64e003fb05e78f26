"""An HTTP server with a bounded pool of threads."""

import contextlib
import errno
import os
import select
import ssl
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from socket import create_server, socket

from loguru import logger

from oriolepaddle.buffers import (
    BufferBudget,
    DescriptorBudget,
    SocketQueues,
    make_budget,
)
from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.logs import log_event
from oriolepaddle.web.application import Application
from oriolepaddle.web.connection import HttpConnection
from oriolepaddle.web.connection_set import ConnectionSet
from oriolepaddle.web.descriptor_slots import DescriptorSlots
from oriolepaddle.web.limits import ServerLimits
from oriolepaddle.web.shedding import ConnectionPhase
from oriolepaddle.web.spare_descriptor import SpareDescriptor
from oriolepaddle.web.syn_filter import drop_new_connections
from oriolepaddle.web.turns import ParsingTurns
from oriolepaddle.web.writer import AnswerWriter

__all__ = ["HttpServer"]

BACKLOG = 512
LAST_ACCEPT_WAIT = timedelta(milliseconds=100)
"""Time without a new connection after which a stopping listener is closed."""
CLOSE_GRACE = timedelta(seconds=1.5)
REFUSAL_TIMEOUT = timedelta(milliseconds=50)
REFUSAL_ATTEMPTS = 4
SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE)
SHORTAGE_CLOSE_COUNT = 16
"""Idle connections that are closed for one that finds no descriptor."""
SHORTAGE_PAUSE = timedelta(milliseconds=10)
SHORTAGE_LOG_INTERVAL = timedelta(seconds=1)
PATIENCE_INTERVAL = timedelta(seconds=1)
"""Time between two refusals that wait for a connection to become idle. Many refusals at
once would otherwise keep the connections behind them waiting."""


class HttpServer:
    """Serves each connection on a thread of a bounded pool.

    If no thread is free for a new connection, another one is closed: see
    `choose_to_shed`. If there is none, the new connection is refused with an error
    code.

    Args:
        host: The IP address to listen on.
        port: The port, or 0 for any free one.
        application: Handles the requests.
        clock: The clock of the time limits.
        limits: The limits of connections and requests.
        tls: The TLS context, or None for plain TCP.
        name: A name for threads and logs.
        free_descriptors: Closes idle connections to other servers when no descriptor
            is left for one of a client; returns their number.
        buffers: Bounds the bodies of requests that are held at once.
        queues: Bounds what the kernel queues for the connections.
        descriptors: Bounds the descriptors of connections and requests; None for no
            bound.
        request_descriptors: The number of descriptors that a request takes.
        turns: The turns in which bodies in tiny chunks are parsed.

    Attributes:
        limits: The limits, which may be replaced while the server runs.
        refused_connections: Connections that were refused as all threads were taken.
        malformed_requests: Requests that could not be read.
    """

    def __init__(
        self,
        host: str,
        port: int,
        application: Application,
        clock: Clock,
        limits: ServerLimits | None = None,
        tls: ssl.SSLContext | None = None,
        name: str = "http",
        free_descriptors: Callable[[], int] = lambda: 0,
        buffers: BufferBudget | None = None,
        queues: SocketQueues | None = None,
        descriptors: DescriptorBudget | None = None,
        request_descriptors: int = 0,
        turns: ParsingTurns | None = None,
    ) -> None:
        self.application = application
        self.clock = clock
        self.limits = limits or ServerLimits()
        self.ssl_context = tls
        self.is_draining = False
        self.is_closed = False
        self._is_stopping = False
        self._stop_signal = os.eventfd(0)
        self.refused_connections = 0
        self.malformed_requests = 0
        self.turns = turns or ParsingTurns(clock)
        self._patient_from_s = float("-inf")
        self._listener = create_server((host, port), backlog=BACKLOG)
        (queues or SocketQueues()).limit_listener(self._listener)
        self.server_address = self._listener.getsockname()
        self.port = self.server_address[1]
        self._name = name
        self._free_descriptors = free_descriptors
        self.buffers = buffers or make_budget(memory_mb=0)
        self._spare = SpareDescriptor()
        self._next_shortage_log_s = float("-inf")
        self._executor = ThreadPoolExecutor(self.limits.max_connections, name)
        self._free_threads = threading.Semaphore(self.limits.max_connections)
        self._connections = ConnectionSet(clock, name)
        self.descriptor_slots = DescriptorSlots(
            clock, self._connections, descriptors, request_descriptors
        )
        self._acceptor = threading.Thread(
            target=self._accept, name=f"{name}-accept", daemon=True
        )

    def start(self) -> None:
        """Start to accept connections."""
        self._acceptor.start()

    def fileno(self) -> int:
        """Return the listener's descriptor."""
        return self._listener.fileno()

    def stop_accepting(self) -> None:
        """Close the listener and idle connections; requests in flight continue.

        Connections that the kernel has already established are served, so that none
        is reset before its request is read.
        """
        self.is_draining = True
        self._is_stopping = True
        if self._acceptor.is_alive():
            os.eventfd_write(self._stop_signal, 1)
            self._acceptor.join()
        self._listener.close()
        self.close_idle()

    def close_idle(self) -> int:
        """Close the connections that serve no request; return how many are left."""
        self._connections.close_idle()
        return len(self._connections)

    def close(self) -> None:
        """Wait up to `CLOSE_GRACE` for requests in flight, then close everything."""
        self.stop_accepting()
        self._connections.wait_until_empty(CLOSE_GRACE)
        self.is_closed = True
        self.drop_connections()
        self._executor.shutdown(wait=True)
        self._spare.give()

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def count_shed(self, phase: ConnectionPhase) -> int:
        """Return how many connections were closed for others in a phase."""
        return self._connections.shed_counts[phase]

    def drop_connections(self) -> None:
        """Shut down every open connection; the listener stays open."""
        self._connections.drop_all()

    def _accept(self) -> None:
        poller = select.poll()
        poller.register(self._listener, select.POLLIN)
        poller.register(self._stop_signal, select.POLLIN)
        while not self._is_stopping:
            poller.poll()
            if not self._is_stopping:
                self._accept_one()
        poller.unregister(self._stop_signal)
        drop_new_connections(self._listener)
        while poller.poll(LAST_ACCEPT_WAIT.total_seconds() * 1000):
            self._accept_one()
        self._listener.close()
        os.close(self._stop_signal)

    def _accept_one(self) -> None:
        try:
            connection, address = self._listener.accept()
        except OSError as error:
            if error.errno in SHORTAGE_ERRORS:
                self._bear_shortage()
            else:
                logger.warning("{} cannot accept a connection: {}", self._name, error)
            return
        if not self._reserve_thread():
            self._refuse(connection)
        elif not self.descriptor_slots.acquire():
            self._free_threads.release()
            self._refuse(connection)
        else:
            self._executor.submit(self._serve, connection, address)

    def _bear_shortage(self) -> None:
        """Free descriptors for the connection that waits, or refuse it."""
        self._log_shortage()
        if self._free_descriptors() + self._connections.shed(SHORTAGE_CLOSE_COUNT):
            # The threads of the closed connections release their descriptors now.
            self.clock.wait(threading.Event(), SHORTAGE_PAUSE)
            return
        if self._spare.give():
            self._refuse_waiting()
        else:
            self.clock.wait(threading.Event(), SHORTAGE_PAUSE)
        self._spare.take()

    def _refuse_waiting(self) -> None:
        try:
            connection, _ = self._listener.accept()
        except OSError as error:
            logger.debug("{} can't refuse a connection: {}", self._name, error)
            return
        self._refuse(connection)

    def _log_shortage(self) -> None:
        now_s = self.clock.monotonic_s()
        if now_s >= self._next_shortage_log_s:
            self._next_shortage_log_s = now_s + SHORTAGE_LOG_INTERVAL.total_seconds()
            log_event("descriptors_exhausted", listener=self._name)

    def _reserve_thread(self) -> bool:
        if self._free_threads.acquire(blocking=False):
            return True
        for _ in range(self._count_attempts()):
            self._connections.shed(count=1)
            if self._free_threads.acquire(timeout=REFUSAL_TIMEOUT.total_seconds()):
                return True
        return False

    def _count_attempts(self) -> int:
        # A connection becomes idle only shortly after its response was read.
        now_s = self.clock.monotonic_s()
        if now_s < self._patient_from_s:
            return 1
        self._patient_from_s = now_s + PATIENCE_INTERVAL.total_seconds()
        return REFUSAL_ATTEMPTS

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
        client = connection
        try:
            client = self._wrap_tls(connection)
            served = HttpConnection(client, address, self)
            with self._connections.hold(served):
                served.serve()
        except (OSError, ssl.SSLError) as error:
            logger.debug("connection of server {} failed: {}", self._name, error)
        finally:
            client.close()
            self.descriptor_slots.release()
            self._free_threads.release()

    def _wrap_tls(self, connection: socket) -> socket:
        if self.ssl_context is None:
            return connection
        connection.settimeout(self.limits.header_timeout.total_seconds())
        return self.ssl_context.wrap_socket(connection, server_side=True)
