"""Requests that end with the crash of each endpoint that runs them."""

import threading
from collections import OrderedDict

import xxhash

from oriolepaddle.clock import Clock
from oriolepaddle.edge.request import EdgeRequest

__all__ = ["CrashRegister"]

MAX_CRASHES = 2
"""Endpoints that a request may crash before it is refused."""
MEMORY_S = 60.0
MAX_ENTRIES = 4096


class CrashRegister:
    """Counts broken runs by what was asked for; thread-safe.

    Args:
        clock: The time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._entries: OrderedDict[str, tuple[float, frozenset[str]]] = OrderedDict()

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request has crashed too many endpoints."""
        with self._lock:
            return len(self._find(fingerprint)) >= MAX_CRASHES

    def record_crash(self, fingerprint: str, endpoint: str) -> None:
        """Note that an endpoint broke off while it ran a request."""
        with self._lock:
            lives = self._find(fingerprint) | {endpoint}
            self._entries[fingerprint] = (self._clock.monotonic_s(), lives)
            self._entries.move_to_end(fingerprint)
            while len(self._entries) > MAX_ENTRIES:
                self._entries.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Note that a request was answered, so that it crashes nothing."""
        with self._lock:
            self._entries.pop(fingerprint, None)

    def entries(self) -> dict[str, frozenset[str]]:
        """Return the noted crashes, for the other instances."""
        with self._lock:
            for name in list(self._entries):
                self._find(name)
            return {name: lives for name, (_, lives) in self._entries.items()}

    def merge(self, entries: dict[str, frozenset[str]]) -> None:
        """Take in what another instance noted."""
        with self._lock:
            for name, lives in entries.items():
                held = self._find(name)
                if not lives <= held:
                    now_s = self._clock.monotonic_s()
                    self._entries[name] = (now_s, held | lives)

    def _find(self, fingerprint: str) -> frozenset[str]:
        held = self._entries.get(fingerprint)
        if held is None:
            return frozenset()
        noted_s, lives = held
        if self._clock.monotonic_s() - noted_s > MEMORY_S:
            del self._entries[fingerprint]
            return frozenset()
        return lives


def make_request_fingerprint(request: EdgeRequest) -> str:
    """Return a digest of what a request asks for, whoever sends it."""
    digest = xxhash.xxh3_128()
    for text in (request.method, request.host, request.target):
        digest.update(text.encode("latin-1", "replace") + b"\0")
    digest.update(request.body)
    return digest.hexdigest()
