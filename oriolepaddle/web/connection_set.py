"""The open connections of a server."""

import contextlib
import threading
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from socket import SHUT_RDWR

from oriolepaddle.clock import Clock
from oriolepaddle.logs import log_event
from oriolepaddle.web.connection import HttpConnection
from oriolepaddle.web.shedding import ConnectionPhase, choose_to_shed

__all__ = ["ConnectionSet"]

LOG_INTERVAL = timedelta(seconds=1)


class ConnectionSet:
    """Holds the open connections and closes some when there are too many.

    Args:
        clock: The clock of the connections.
        name: The name of the listener, for logs.

    Attributes:
        shed_counts: Connections that were closed for others, by their phase.
    """

    def __init__(self, clock: Clock, name: str) -> None:
        self._clock = clock
        self._name = name
        self._changed = threading.Condition()
        self._connections: set[HttpConnection] = set()
        self.shed_counts: Counter[ConnectionPhase] = Counter()
        self._logged_counts: Counter[ConnectionPhase] = Counter()
        self._next_log_s: dict[ConnectionPhase, float] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[HttpConnection]:
        with self._changed:
            return iter(list(self._connections))

    @contextlib.contextmanager
    def hold(self, connection: HttpConnection) -> Iterator[None]:
        """Keep a connection in the set for the duration of the context."""
        with self._changed:
            self._connections.add(connection)
        try:
            yield
        finally:
            with self._changed:
                self._connections.discard(connection)
                self._changed.notify_all()

    def wait_until_empty(self, timeout: timedelta) -> None:
        """Wait until there is no connection, at most for a timeout."""
        with self._changed:
            self._changed.wait_for(
                lambda: not self._connections, timeout.total_seconds()
            )

    def drop_all(self) -> None:
        """Shut down every connection."""
        for connection in self:
            with contextlib.suppress(OSError):
                connection.connection.shutdown(SHUT_RDWR)

    def close_idle(self) -> None:
        """Close the connections that serve no request."""
        for connection in self:
            connection.close_if_idle()

    def shed(self, count: int) -> int:
        """Close connections in the order of `choose_to_shed`; return their number."""
        states = [item.describe() for item in self]
        chosen = choose_to_shed(states, self._clock.monotonic_s(), count)
        closed = [state.phase for state in chosen if state.key.shed(state.phase)]
        with self._changed:
            self.shed_counts.update(closed)
            for phase in set(closed):
                self._log_shed(phase)
        return len(closed)

    def _log_shed(self, phase: ConnectionPhase) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_log_s.get(phase, float("-inf")):
            return
        self._next_log_s[phase] = now_s + LOG_INTERVAL.total_seconds()
        count = self.shed_counts[phase] - self._logged_counts[phase]
        self._logged_counts[phase] = self.shed_counts[phase]
        log_event(
            "connections_shed", listener=self._name, phase=phase.value, count=count
        )
