"""Pauses that endpoints asked this instance for, and the sends after them."""

import threading
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.logs import log_event

__all__ = ["EndpointPauses"]

MAX_ENTRIES = 8_192
FULL_ALLOWANCE = 64
"""Requests in flight from which an endpoint is no longer tested."""


@attrs.frozen
class _Pause:
    until_s: float
    allowance: int = 1


class EndpointPauses:
    """Decides when an endpoint that asked for a pause gets requests again. Thread-safe.

    A pause binds the instance that was refused only: other instances may find room.
    After it, one request at a time is sent, and with each success twice as many.

    Args:
        clock: The source of time.
        max_pause: The longest pause.
    """

    def __init__(self, clock: Clock, max_pause: timedelta) -> None:
        self._clock = clock
        self._max_pause_s = max_pause.total_seconds()
        self._lock = threading.Lock()
        self._pauses: dict[str, _Pause] = {}

    def begin(self, incarnation: str, duration: timedelta) -> None:
        """Begin a pause now; a longer one that has begun goes on."""
        duration_s = min(duration.total_seconds(), self._max_pause_s)
        until_s = self._clock.monotonic_s() + duration_s
        with self._lock:
            known = self._pauses.pop(incarnation, None)
            if known is not None:
                until_s = max(until_s, known.until_s)
            self._pauses[incarnation] = _Pause(until_s)
            if len(self._pauses) > MAX_ENTRIES:
                del self._pauses[next(iter(self._pauses))]
        log_event(
            "endpoint_paused",
            incarnation=incarnation,
            asked_s=duration.total_seconds(),
            remaining_s=round(until_s - self._clock.monotonic_s(), 3),
        )

    def record_success(self, incarnation: str) -> None:
        """Allow more requests to an endpoint that has run one after its pause."""
        if incarnation not in self._pauses:
            return
        with self._lock:
            pause = self._pauses.get(incarnation)
            if pause is None or self._clock.monotonic_s() < pause.until_s:
                return
            if 2 * pause.allowance < FULL_ALLOWANCE:
                self._pauses[incarnation] = attrs.evolve(
                    pause, allowance=2 * pause.allowance
                )
                return
            del self._pauses[incarnation]
        log_event("endpoint_resumed", incarnation=incarnation)

    def remaining_s(self, incarnation: str) -> float:
        """Return the seconds until a pause ends, 0 if there is none."""
        pause = self._pauses.get(incarnation)
        if pause is None:
            return 0.0
        return max(0.0, pause.until_s - self._clock.monotonic_s())

    def may_send(self, incarnation: str, in_flight: int) -> bool:
        """Return whether an endpoint may get a request now.

        Args:
            incarnation: The incarnation of the endpoint.
            in_flight: The requests of this instance that it runs.
        """
        pause = self._pauses.get(incarnation)
        if pause is None:
            return True
        is_over = self._clock.monotonic_s() >= pause.until_s
        return is_over and in_flight < pause.allowance
