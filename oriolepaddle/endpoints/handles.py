"""A pool of curl handles, each with its connection."""

import contextlib
import socket
import threading
from collections import deque
from datetime import timedelta
from typing import Any

import pycurl

from oriolepaddle.clock import Clock

__all__ = ["HandlePool", "PooledHandle"]

KEPT_MARGIN_S = 0.4
"""Before the other end closes: the way there and its timers' lag."""
UNTOLD_KEPT_S = 0.5
"""Idle time after which an end that does not say may have closed."""
MAX_CAREFUL_IDLE_S = 2.0
"""Something between the ends may forget an idle connection before that."""


class PooledHandle:
    """A curl handle and a reference to the socket of its connection.

    The reference lets another thread end a transfer that the handle's own
    thread waits for.

    Attributes:
        curl: The handle.
        idle_since_s: Monotonic time since which it is not in use.
        keep_alive_timeout_s: Seconds for which the other end says that it keeps an idle
            connection; None if it does not say.
    """

    def __init__(self) -> None:
        self.curl = pycurl.Curl()
        self.idle_since_s = 0.0
        self.keep_alive_timeout_s: float | None = None
        self._socket: socket.socket | None = None

    def prepare(self) -> None:
        """Reset the options but keep the connection."""
        self.curl.reset()
        self.curl.setopt(pycurl.MAXCONNECTS, 1)
        self.curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)

    def interrupt(self) -> None:
        """End the transfer in progress, from any thread."""
        held = self._socket
        if held is not None:
            with contextlib.suppress(OSError):
                held.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self.curl.close()
        self._close_socket()

    def _open_socket(self, purpose: int, address: Any) -> socket.socket:
        self._close_socket()
        self._socket = socket.socket(address.family, address.socktype, address.protocol)
        return self._socket

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None


class HandlePool:
    """Keeps idle handles of each address, the last used first.

    Args:
        clock: Tells the age of idle handles.
        max_age: The age at which an idle handle is not used again, since
            something between the ends may have forgotten its connection.
        max_idle: The most idle handles kept for one address.
    """

    def __init__(self, clock: Clock, max_age: timedelta, max_idle: int = 64) -> None:
        self._clock = clock
        self._max_age_s = max_age.total_seconds()
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._idle: dict[str, deque[PooledHandle]] = {}

    def acquire(self, address: str, must_be_open: bool = False) -> PooledHandle:
        """Return an idle handle of an address, or a new one.

        Args:
            address: The address.
            must_be_open: Whether only a connection will do that the other end
                has surely not closed meanwhile.
        """
        with self._lock:
            expired = self._remove_expired(address)
            idle = self._idle.get(address)
            handle = None
            if idle and (not must_be_open or self._is_surely_kept(idle[-1])):
                handle = idle.pop()
        _close_all(expired)
        handle = handle or PooledHandle()
        handle.prepare()
        return handle

    def _is_surely_kept(self, handle: PooledHandle) -> bool:
        idle_s = self._clock.monotonic_s() - handle.idle_since_s
        keep_alive_timeout_s = handle.keep_alive_timeout_s
        if keep_alive_timeout_s is None:
            return idle_s <= UNTOLD_KEPT_S
        return idle_s <= min(keep_alive_timeout_s - KEPT_MARGIN_S, MAX_CAREFUL_IDLE_S)

    def release(self, address: str, handle: PooledHandle) -> None:
        """Keep a handle for its connection, or close it if there are enough."""
        handle.idle_since_s = self._clock.monotonic_s()
        with self._lock:
            idle = self._idle.setdefault(address, deque())
            idle.append(handle)
            surplus = [idle.popleft()] if len(idle) > self._max_idle else []
            surplus += self._remove_expired(address)
        _close_all(surplus)

    def retain(self, addresses: set[str]) -> None:
        """Close the handles of addresses that are not in use any more."""
        with self._lock:
            gone = [address for address in self._idle if address not in addresses]
            handles = [handle for name in gone for handle in self._idle.pop(name)]
        _close_all(handles)

    def _remove_expired(self, address: str) -> list[PooledHandle]:
        idle = self._idle.get(address, deque())
        oldest_s = self._clock.monotonic_s() - self._max_age_s
        expired = []
        while idle and idle[0].idle_since_s < oldest_s:
            expired.append(idle.popleft())
        return expired


def _close_all(handles: list[PooledHandle]) -> None:
    for handle in handles:
        handle.close()
