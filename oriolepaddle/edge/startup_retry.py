"""Retries of admission while an instance starts."""

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.logs import log_event

__all__ = ["StartupRetry"]

STARTUP_PERIOD = timedelta(seconds=2)
"""Time in which an instance loads its configuration, contacts its hubs and has its
share of the rates minted; it usually takes half of that."""
MAX_WAIT = timedelta(milliseconds=800)
"""Longest wait of one request; it can still be on time after that."""
RETRY_INTERVAL = timedelta(milliseconds=80)
"""Delay between two attempts, each of which may request tokens from two hubs."""
_TRANSIENT_CODES = frozenset({ErrorCode.NOT_READY, ErrorCode.RATE_LIMITED})

T = TypeVar("T")


class StartupRetry:
    """Retries actions that an instance refuses only because it has just started.

    If all instances lose power at once under full load, they restart without
    configuration and tokens. Callers reconnect at once, and requests that are
    refused then would be served shortly after.

    Args:
        clock: The source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_s = clock.monotonic_s() + STARTUP_PERIOD.total_seconds()

    def call(self, action: Callable[[], T], request_id: str, arrived_s: float) -> T:
        """Call an action, with retries while the instance starts.

        Args:
            action: A function that may be called again after a refusal.
            request_id: The id of the request, for the log.
            arrived_s: Monotonic time at which the request arrived.

        Returns:
            The result of the action.

        Raises:
            RefusedError: The last refusal of the action.
        """
        until_s = min(self._until_s, arrived_s + MAX_WAIT.total_seconds())
        started_at_s = self._clock.monotonic_s()
        while True:
            try:
                result = action()
            except RefusedError as error:
                is_late = (
                    self._clock.monotonic_s() + RETRY_INTERVAL.total_seconds() > until_s
                )
                if error.code not in _TRANSIENT_CODES or is_late:
                    raise
                self._clock.wait(threading.Event(), RETRY_INTERVAL)
                continue
            waited_s = self._clock.monotonic_s() - started_at_s
            if waited_s >= RETRY_INTERVAL.total_seconds():
                log_event(
                    "request_waited_for_start",
                    request_id=request_id,
                    waited_s=round(waited_s, 3),
                )
            return result
