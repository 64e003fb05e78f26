"""Detection of requests that crash each endpoint that runs them."""

import threading
from collections import OrderedDict

import xxhash

from oriolepaddle.clock import Clock
from oriolepaddle.edge.request import EdgeRequest

__all__ = ["CrashRegister"]

MAX_CRASHES = 2
"""Number of endpoint incarnations that a request may crash before it is refused."""
RETENTION_S = 60.0
MAX_ENTRIES = 4096


class CrashRegister:
    """Records crashed endpoint incarnations by request fingerprint; thread-safe.

    Args:
        clock: The source of time.
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
        """Record that an endpoint closed the connection while it ran a request."""
        with self._lock:
            incarnations = self._find(fingerprint) | {endpoint}
            self._entries[fingerprint] = (self._clock.monotonic_s(), incarnations)
            self._entries.move_to_end(fingerprint)
            while len(self._entries) > MAX_ENTRIES:
                self._entries.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Remove the crashes of a request, since an endpoint has answered it."""
        with self._lock:
            self._entries.pop(fingerprint, None)

    def entries(self) -> dict[str, frozenset[str]]:
        """Return the recorded crashes, to be sent to other instances."""
        with self._lock:
            for name in list(self._entries):
                self._find(name)
            return {
                name: incarnations for name, (_, incarnations) in self._entries.items()
            }

    def merge(self, entries: dict[str, frozenset[str]]) -> None:
        """Merge the crashes that another instance recorded."""
        with self._lock:
            for name, incarnations in entries.items():
                known = self._find(name)
                if not incarnations <= known:
                    now_s = self._clock.monotonic_s()
                    self._entries[name] = (now_s, known | incarnations)

    def _find(self, fingerprint: str) -> frozenset[str]:
        entry = self._entries.get(fingerprint)
        if entry is None:
            return frozenset()
        recorded_at_s, incarnations = entry
        if self._clock.monotonic_s() - recorded_at_s > RETENTION_S:
            del self._entries[fingerprint]
            return frozenset()
        return incarnations


def make_request_fingerprint(request: EdgeRequest) -> str:
    """Return a digest of a request's content, independent of its caller."""
    digest = xxhash.xxh3_128()
    for text in (request.method, request.host, request.target):
        digest.update(text.encode("latin-1", "replace") + b"\0")
    digest.update(request.body)
    return digest.hexdigest()
