"""Pool of curl handles with their open connections."""

import contextlib
import errno
import socket
import threading
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pycurl

from oriolepaddle.clock import Clock
from oriolepaddle.sockets import count_queued_bytes, count_received_bytes

__all__ = ["HandlePool", "PooledHandle"]

KEEP_ALIVE_MARGIN_S = 0.4
"""Time before the server's keep-alive timeout at which a connection is no longer
reused: covers the network delay to the server and the lag of its timers."""
DEFAULT_KEEP_ALIVE_S = 0.5
"""Idle time after which a server that sends no keep-alive timeout may have closed
the connection."""
MAX_RELIABLE_IDLE_S = 2.0
"""Maximum idle time at which a connection counts as open: a middlebox on the path
may drop the state of an idle connection before the server's timeout."""


MAX_IDLE_TOTAL = 1024
"""Idle handles for all addresses together; each holds up to four descriptors."""
_SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE)


class PooledHandle:
    """A curl handle and a reference to the socket of its connection.

    The reference lets another thread abort a transfer that blocks the thread of
    the handle.

    Args:
        free_descriptors: Called when the process has no descriptor left for a
            connection; closes others that are idle.
        max_received_bytes: What the kernel may queue of an answer, 0 for its default.

    Attributes:
        curl: The curl handle.
        idle_since_s: Monotonic time at which the handle became idle.
        keep_alive_timeout_s: Idle timeout from the server's `Keep-Alive` header,
            or None if it sent none.
        has_no_descriptor: Whether the last connection failed for want of a
            descriptor.
    """

    def __init__(
        self, free_descriptors: Callable[[], object], max_received_bytes: int = 0
    ) -> None:
        self.curl = pycurl.Curl()
        self._max_received_bytes = max_received_bytes
        self._free_descriptors = free_descriptors
        self.has_no_descriptor = False
        self.idle_since_s = 0.0
        self.keep_alive_timeout_s: float | None = None
        self._socket: socket.socket | None = None

    def prepare(self) -> None:
        """Reset the options and retain the connection."""
        self.curl.reset()
        self.has_no_descriptor = False
        self.curl.setopt(pycurl.MAXCONNECTS, 1)
        self.curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)

    def interrupt(self) -> None:
        """Abort the transfer in progress; may be called from any thread."""
        open_socket = self._socket
        if open_socket is not None:
            with contextlib.suppress(OSError):
                open_socket.shutdown(socket.SHUT_RDWR)

    def has_delivered(self) -> bool:
        """Return whether the other side has received all that was sent to it."""
        open_socket = self._socket
        if open_socket is None:
            return True
        try:
            if open_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return False
            return count_queued_bytes(open_socket) == 0
        except OSError:
            return True

    def count_received_bytes(self) -> int | None:
        """Return the bytes received on its connection, None if not known."""
        open_socket = self._socket
        if open_socket is None:
            return None
        try:
            return count_received_bytes(open_socket)
        except OSError:
            return None

    def close(self) -> None:
        """Close the connection."""
        self.curl.close()
        self._close_socket()

    def _open_socket(self, purpose: int, address: Any) -> socket.socket | int:
        self._close_socket()
        for _ in range(2):
            try:
                self._socket = socket.socket(
                    address.family, address.socktype, address.protocol
                )
                self._limit_queue()
                return self._socket
            except OSError as error:
                if error.errno not in _SHORTAGE_ERRORS:
                    raise
                self._free_descriptors()
        self.has_no_descriptor = True
        return pycurl.SOCKET_BAD

    def _limit_queue(self) -> None:
        # The kernel queues megabytes of an answer whose caller has stopped reading.
        if self._max_received_bytes:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._max_received_bytes
            )

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None


class HandlePool:
    """Pools idle handles by address and reuses the most recently used first.

    Args:
        clock: Clock for the idle time of handles.
        max_connection_idle: Idle time after which a handle is not reused, since a
            middlebox on the path may have dropped the state of its connection.
        max_idle_handles: Maximum number of idle handles for one address.
        max_idle_total: Maximum number of idle handles for all addresses.
        max_received_bytes: What the kernel may queue of an answer, 0 for its default.
    """

    def __init__(
        self,
        clock: Clock,
        max_connection_idle: timedelta,
        max_idle_handles: int = 64,
        max_idle_total: int = MAX_IDLE_TOTAL,
        max_received_bytes: int = 0,
    ) -> None:
        self._max_received_bytes = max_received_bytes
        self._clock = clock
        self._max_connection_idle_s = max_connection_idle.total_seconds()
        self._max_idle_handles = max_idle_handles
        self._max_idle_total = max_idle_total
        self._idle_count = 0
        self._lock = threading.Lock()
        self._idle: dict[str, deque[PooledHandle]] = {}

    def acquire(
        self, address: str, reuse_only_if_surely_open: bool = False
    ) -> PooledHandle:
        """Return an idle handle for an address, or a new one.

        Args:
            address: `host:port` of the endpoint or instance.
            reuse_only_if_surely_open: Whether to reuse only a connection that the
                server cannot have closed yet by its idle timeout.
        """
        with self._lock:
            expired = self._remove_expired(address)
            idle = self._idle.get(address)
            handle = None
            if idle and (
                not reuse_only_if_surely_open or self._is_surely_open(idle[-1])
            ):
                handle = idle.pop()
                self._idle_count -= 1
            self._forget_if_empty(address)
        _close_all(expired)
        handle = handle or PooledHandle(self.close_all, self._max_received_bytes)
        handle.prepare()
        return handle

    def _is_surely_open(self, handle: PooledHandle) -> bool:
        idle_s = self._clock.monotonic_s() - handle.idle_since_s
        keep_alive_timeout_s = handle.keep_alive_timeout_s
        if keep_alive_timeout_s is None:
            return idle_s <= DEFAULT_KEEP_ALIVE_S
        return idle_s <= min(
            keep_alive_timeout_s - KEEP_ALIVE_MARGIN_S, MAX_RELIABLE_IDLE_S
        )

    def release(self, address: str, handle: PooledHandle) -> None:
        """Return a handle to the pool; close the oldest handle if the pool is full."""
        handle.idle_since_s = self._clock.monotonic_s()
        with self._lock:
            idle = self._idle.setdefault(address, deque())
            idle.append(handle)
            self._idle_count += 1
            surplus = self._remove_expired(address)
            if len(idle) > self._max_idle_handles:
                surplus.append(self._remove_oldest(address))
            elif self._idle_count > self._max_idle_total:
                surplus.append(self._remove_oldest(self._find_oldest_address()))
        _close_all(surplus)

    @property
    def idle_count(self) -> int:
        """The number of idle handles."""
        return self._idle_count

    @property
    def address_count(self) -> int:
        """The number of addresses with idle handles."""
        return len(self._idle)

    def close_expired(self) -> int:
        """Close the handles of all addresses that are idle for too long.

        Handles of an address that is used no more would stay open otherwise.

        Returns:
            The number of handles that were closed.
        """
        with self._lock:
            handles = []
            for address in list(self._idle):
                handles += self._remove_expired(address)
                self._forget_if_empty(address)
        _close_all(handles)
        return len(handles)

    def close_all(self) -> int:
        """Close all idle handles; return their number."""
        with self._lock:
            handles = [handle for idle in self._idle.values() for handle in idle]
            self._idle.clear()
            self._idle_count = 0
        _close_all(handles)
        return len(handles)

    def _remove_expired(self, address: str) -> list[PooledHandle]:
        idle = self._idle.get(address, deque())
        min_idle_since_s = self._clock.monotonic_s() - self._max_connection_idle_s
        expired = []
        while idle and idle[0].idle_since_s < min_idle_since_s:
            expired.append(self._remove_oldest(address))
        return expired

    def _remove_oldest(self, address: str) -> PooledHandle:
        handle = self._idle[address].popleft()
        self._idle_count -= 1
        self._forget_if_empty(address)
        return handle

    def _find_oldest_address(self) -> str:
        return min(self._idle, key=lambda address: self._idle[address][0].idle_since_s)

    def _forget_if_empty(self, address: str) -> None:
        if not self._idle.get(address, True):
            del self._idle[address]


def _close_all(handles: list[PooledHandle]) -> None:
    for handle in handles:
        handle.close()
