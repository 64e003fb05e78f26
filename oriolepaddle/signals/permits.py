"""Permits to send requests to endpoints that name a limit or ask for a pause.

Answers the load in which one endpoint in need takes a request a second, or less, from
hundreds of instances together. An instance's own fraction of that is no whole request,
so the limit is shared out like the rate of an organisation: hubs mint it for the
instances of their region, and the others draw single requests from the hubs.
"""

from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.config.model import Organisation
from oriolepaddle.errors import RefusedError
from oriolepaddle.limits import GrantingLimiter, PooledLimiter, TokenPool
from oriolepaddle.logs import log_event
from oriolepaddle.signals.board import SignalBoard
from oriolepaddle.signals.entries import LimitEntry
from oriolepaddle.signals.pauses import EndpointPauses
from oriolepaddle.signals.signals import EndpointSignals

__all__ = ["LIMIT_PREFIX", "EndpointPermits"]

LIMIT_PREFIX = "endpoint/"
"""Distinguishes an endpoint's incarnation from an organisation in a draw."""
BURST_REQUESTS = 3.0
"""Requests that all instances may send at once after a pause. A hub with a third of
the shares can still hold one."""
BURST_S = 1.0
"""Time whose requests may be sent at once in addition."""
ZERO_PAUSE_S = 30.0
"""Time after which an endpoint that takes nothing may get a request, whose answer says
whether that has changed."""
MIN_RATE_PER_S = 1 / ZERO_PAUSE_S
DEFAULT_MAX_PAUSE = timedelta(minutes=10)
REQUEST = 1.0


class EndpointPermits:
    """Decides which requests an endpoint with a limit gets. Thread-safe.

    Every request that is sent counts, whatever becomes of it.

    Args:
        clock: The source of time.
        board: The limits of the endpoints.
        find_share: Returns this instance's share of the rates of its region's
            endpoints; the shares of the region's instances add up to at most 1.
        max_pause: The longest pause of an endpoint.
        count: Called with the name of each event, for metrics.
    """

    def __init__(
        self,
        clock: Clock,
        board: SignalBoard,
        find_share: Callable[[], float],
        max_pause: timedelta = DEFAULT_MAX_PAUSE,
        count: Callable[[str], None] = lambda event: None,
    ) -> None:
        self._clock = clock
        self._board = board
        self._count = count
        self._pauses = EndpointPauses(clock, max_pause)
        self.limiter = GrantingLimiter(clock, find_share, self.find_rate)
        self._pooled: PooledLimiter | None = None

    def record(
        self, incarnation: str, signals: EndpointSignals, sent_s: float, has_run: bool
    ) -> None:
        """Record the signals of an answer whose head has just been received.

        Args:
            incarnation: The incarnation of the endpoint that answered.
            signals: The signals.
            sent_s: Monotonic time before which the request was not sent.
            has_run: Whether the endpoint has taken the request.
        """
        self._board.record(incarnation, signals, sent_s)
        if signals.retry_after is not None:
            self._count("endpoint_paused")
            self._pauses.begin(incarnation, signals.retry_after)
        elif has_run:
            self._pauses.record_success(incarnation)

    def may_send(self, incarnation: str, in_flight: int) -> bool:
        """Return whether an endpoint doesn't pause; see `Permits.may_send`."""
        return self._pauses.may_send(incarnation, in_flight)

    def remaining_pause_s(self, incarnation: str) -> float:
        """Return the seconds until an endpoint's pause ends, 0 without one."""
        return self._pauses.remaining_s(incarnation)

    def connect(self, pool: TokenPool) -> None:
        """Set the pool from which permits of the hubs are drawn."""
        self._pooled = PooledLimiter(self.limiter, pool)

    def find_rate(self, name: str) -> Organisation | None:
        """Return an endpoint's limit as the rate that instances share, or None."""
        entry = self._board.find_entry(name.removeprefix(LIMIT_PREFIX))
        if entry is None or entry.limit_per_s is None:
            return None
        return _make_rate(entry)

    def is_limited(self, incarnation: str) -> bool:
        """Return whether an endpoint names a limit."""
        return self._board.find_limit(incarnation) is not None

    def can_acquire(self, incarnation: str) -> bool:
        """Return whether a request may be sent now with a permit of this instance."""
        entry = self._board.find_entry(incarnation)
        if entry is None or entry.limit_per_s is None:
            return True
        if self._is_pausing(entry):
            return False
        return self.limiter.available(_make_rate(entry)) >= REQUEST

    def acquire(self, incarnation: str) -> bool:
        """Acquire a permit of this instance; return whether there was one."""
        entry = self._board.find_entry(incarnation)
        if entry is None or entry.limit_per_s is None:
            return True
        if self._is_pausing(entry):
            return False
        try:
            self.limiter.reserve(_make_rate(entry), REQUEST).settle(REQUEST)
        except RefusedError:
            return False
        return True

    def draw(self, incarnation: str) -> None:
        """Acquire a permit of this instance or a hub.

        Raises:
            RefusedError: There is none; it has the time at which to come back.
        """
        entry = self._board.find_entry(incarnation)
        if entry is None or entry.limit_per_s is None:
            return
        limiter = self._pooled or self.limiter
        try:
            if self._is_pausing(entry):
                raise RefusedError(f"{incarnation} takes no requests")
            limiter.reserve(_make_rate(entry), REQUEST).settle(REQUEST)
        except RefusedError as error:
            self._report("endpoint_permit_refused", entry, reason=error.message)
            raise
        self._report("endpoint_permit_drawn", entry)

    def forget_lifted(self) -> None:
        """Drop the accounts of endpoints that name no limit any longer."""
        self.limiter.drop_unknown()

    def _is_pausing(self, entry: LimitEntry) -> bool:
        age_s = self._clock.monotonic_s() - entry.stated_s
        return entry.limit_per_s == 0 and age_s < ZERO_PAUSE_S

    def _report(self, event: str, entry: LimitEntry, **fields: object) -> None:
        self._count(event)
        log_event(
            event,
            incarnation=entry.incarnation,
            limit_per_s=entry.limit_per_s,
            origin=entry.origin,
            age_s=round(self._clock.monotonic_s() - entry.stated_s, 3),
            **fields,
        )


def _make_rate(entry: LimitEntry) -> Organisation:
    rate_per_s = max(MIN_RATE_PER_S, entry.limit_per_s or 0.0)
    return Organisation(
        LIMIT_PREFIX + entry.incarnation,
        rate_per_s,
        BURST_REQUESTS + BURST_S * rate_per_s,
    )
