"""Letting requests wait while an instance comes up."""

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.logs import log_event

__all__ = ["StartupRetry"]

COMING_UP = timedelta(seconds=2)
"""Time in which an instance gets its configuration, meets its hubs and has its
part of the rates minted; it mostly takes half of that."""
LONGEST_WAIT = timedelta(milliseconds=800)
"""For one request; it can still be on time after that."""
POLL = timedelta(milliseconds=80)
"""Between two tries; each may ask two hubs for tokens."""
_PASSING = frozenset({ErrorCode.NOT_READY, ErrorCode.RATE_LIMITED})

T = TypeVar("T")


class StartupRetry:
    """Tries again what an instance refuses only because it has just started.

    The load that this answers: all instances lose power at once under full load
    and begin anew without configuration and tokens. Callers come back at once,
    and what is refused then would be served a moment later.

    Args:
        clock: The time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_s = clock.monotonic_s() + COMING_UP.total_seconds()

    def call(self, action: Callable[[], T], request_id: str, arrived_s: float) -> T:
        """Return what an action returns, trying again while the instance is new.

        Args:
            action: May be repeated after a refusal.
            request_id: The request, for the log.
            arrived_s: Monotonic time at which it came.

        Raises:
            RefusedError: The action's last refusal.
        """
        until_s = min(self._until_s, arrived_s + LONGEST_WAIT.total_seconds())
        began_s = self._clock.monotonic_s()
        while True:
            try:
                result = action()
            except RefusedError as error:
                is_late = self._clock.monotonic_s() + POLL.total_seconds() > until_s
                if error.code not in _PASSING or is_late:
                    raise
                self._clock.wait(threading.Event(), POLL)
                continue
            waited_s = self._clock.monotonic_s() - began_s
            if waited_s >= POLL.total_seconds():
                log_event(
                    "request_waited_for_start",
                    request_id=request_id,
                    waited_s=round(waited_s, 3),
                )
            return result
