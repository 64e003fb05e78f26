"""A pool of curl handles, each with its connection."""

import threading
from collections import deque

import pycurl

__all__ = ["HandlePool"]


class HandlePool:
    """Keeps idle handles of each address, the last used first.

    Args:
        max_idle: The most idle handles kept for one address.
    """

    def __init__(self, max_idle: int = 64) -> None:
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._idle: dict[str, deque[pycurl.Curl]] = {}

    def take(self, address: str) -> pycurl.Curl:
        """Return an idle handle of an address, or a new one."""
        with self._lock:
            idle = self._idle.get(address)
            if idle:
                return idle.pop()
        return pycurl.Curl()

    def give_back(self, address: str, handle: pycurl.Curl) -> None:
        """Keep a handle for its connection, or close it if there are enough."""
        handle.reset()
        with self._lock:
            idle = self._idle.setdefault(address, deque())
            if len(idle) < self._max_idle:
                idle.append(handle)
                return
        handle.close()

    def retain(self, addresses: set[str]) -> None:
        """Close the handles of addresses that are not in use any more."""
        with self._lock:
            gone = [address for address in self._idle if address not in addresses]
            handles = [handle for name in gone for handle in self._idle.pop(name)]
        for handle in handles:
            handle.close()
