"""Requests that wait at an instance while others need the endpoints sooner.

Answers the load of long prompts whose first event is due late, and short ones on the
same engines whose first event is due soon, when the engines can't read all prompts. If
each long prompt were sent as soon as it could still be on time, the engines' queues
would grow to the long prompts' target, and every short one would be too late.
"""

import itertools
import threading
from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.admission.service_queue import MAX_LENGTH, ServiceQueue
from oriolepaddle.admission.waiter import Waiter
from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, RefusedError

__all__ = ["EdgeQueue", "QueueEntry", "QueueLimits", "QueuedRequest"]

MIN_TARGET_RATIO = 1.25
"""A request waits only for those whose target is shorter by this factor."""
FIRST_LIMIT, LAST_LIMIT = 0.2, 0.4
"""Expected queue at the endpoint up to which a waiting request starts, as a fraction of
the shortest target: at its arrival, and at its latest start. Between these it grows in
proportion, so that the instances of a region start requests in the order of their
latest starts without messages, and not all at once. The rest of the target covers loads
that are reported late."""
IDLE_LIMIT = 0.05
"""Expected queue, as a fraction of the shortest target, up to which an endpoint counts
as idle: no request is refused then, even if others wait. With `FIRST_LIMIT` here, the
instances sent too much to endpoints whose load was reported late."""
MARGIN_S = 0.3
"""Time by which a request starts before it would be late: about the age of the loads
that its endpoint is chosen by."""
FORECAST_FRACTION = 0.3
"""Fraction of its longest wait that a request may be expected to wait on arrival. With
1.0, waits grow to the longest one under lasting overload: at 1.5 times the capacity a
quarter of the long prompts waited that long and were refused then; with 0.3 it was a
twentieth."""
MIN_RETRY_AFTER_S = 0.3
"""Shortest retry delay: about the time in which the endpoints' queues get shorter."""
MAX_SPREAD = 2.0
"""Factor up to which a retry delay is extended at random, so that callers that are
refused together don't return together."""


@attrs.frozen
class QueuedRequest:
    """What the queue needs to know of a request.

    Attributes:
        service: The service that is to run it.
        organisation: Its organisation's id; empty on open routes.
        weight: The weight of the organisation.
        cost_tokens: Its cost relative to other requests of the service.
        target_s: Seconds from its arrival within which its first byte is due.
        on_time_s: Seconds until its first byte is due.
        own_s: Expected seconds from its start to its first byte without a queue.
    """

    service: str
    organisation: str
    weight: float
    cost_tokens: float
    target_s: float
    on_time_s: float
    own_s: float


@attrs.frozen
class QueueLimits:
    """The longest expected queue at an endpoint for which a request starts.

    Attributes:
        first_s: At its arrival, in seconds; infinity for a request that doesn't wait.
        last_s: At its latest start, in seconds.
        idle_s: Instead of a refusal, in seconds.
    """

    first_s: float
    last_s: float
    idle_s: float


@attrs.frozen
class QueueEntry:
    """A request that waits.

    Attributes:
        service: The service that is to run it.
        waiter: Its place in the queue; `deadline_s` is its latest start.
        limits: The limits of the expected queue while it waits.
        forecast_s: Seconds that it was expected to wait.
        position: The number of requests that waited when it entered.
    """

    service: str
    waiter: Waiter
    limits: QueueLimits
    forecast_s: float
    position: int


class EdgeQueue:
    """Decides which requests wait, start or are refused; thread-safe, never blocks.

    A request whose first byte is due late starts only while the endpoints' queues are
    short, so that one that is due soon still finds room behind it.

    Args:
        clock: The clock.
        spread: Returns a random number from 0 to 1, for retry delays.
    """

    def __init__(self, clock: Clock, spread: Callable[[], float]) -> None:
        self._clock = clock
        self._spread = spread
        self._lock = threading.Lock()
        self._sequences = itertools.count()
        self._services: dict[str, ServiceQueue] = {}

    def find_limits(self, service: str, target_s: float) -> QueueLimits:
        """Return the limits for a request that arrives now.

        Args:
            service: The service that is to run the request.
            target_s: Seconds from its arrival within which its first byte is due.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            state = self._services.setdefault(service, ServiceQueue())
            state.note_target(target_s, now_s)
            return _find_limits(state, target_s, now_s)

    def is_waiting(self, service: str) -> bool:
        """Return whether a request of a service waits."""
        with self._lock:
            state = self._services.get(service)
            return state is not None and len(state.queue) > 0

    def enter(self, request: QueuedRequest) -> QueueEntry | None:
        """Let a request wait that placement refused under its limit.

        Returns:
            None if it has no time to wait.

        Raises:
            RefusedError: It would wait too long to be on time; it was not run.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            state = self._services[request.service]
            limits = _find_limits(state, request.target_s, now_s)
            return self._push(state, request, limits, now_s)

    def find_limit_s(self, entry: QueueEntry) -> float:
        """Return the longest expected queue for which a waiting request starts now.

        It is 0 while another one is to start before it.

        Raises:
            RefusedError: It can no longer be on time; it was not run.
        """
        state = self._services[entry.service]
        waiter = entry.waiter
        now_s = self._clock.monotonic_s()
        with self._lock:
            if waiter.refusal is not None:
                raise waiter.refusal
            if now_s >= waiter.deadline_s:
                self._leave(state, waiter, now_s, was_refused=True)
                raise self._make_refusal(now_s - waiter.entered_s, 0.0)
            if state.queue.first() is not waiter:
                return 0.0
            return _interpolate_s(entry, now_s)

    def start(self, entry: QueueEntry) -> float:
        """Record that a request leaves the queue to be sent; return its wait."""
        state = self._services[entry.service]
        now_s = self._clock.monotonic_s()
        with self._lock:
            state.queue.charge(entry.waiter)
            self._leave(state, entry.waiter, now_s, was_refused=False)
        return now_s - entry.waiter.entered_s

    def leave(self, entry: QueueEntry) -> None:
        """Remove a request whose caller has disconnected, or that can't wait on."""
        state = self._services[entry.service]
        with self._lock:
            state.queue.remove(entry.waiter)
            _wake_first(state)

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        with self._lock:
            return sum(len(state.queue) for state in self._services.values())

    def _push(
        self,
        state: ServiceQueue,
        request: QueuedRequest,
        limits: QueueLimits,
        now_s: float,
    ) -> QueueEntry | None:
        spare_s = request.on_time_s - limits.last_s - request.own_s - MARGIN_S
        if spare_s <= 0:
            return None
        forecast_s = state.forecast_s(now_s)
        max_wait_s = FORECAST_FRACTION * spare_s
        is_closed = len(state.queue) >= state.window < MAX_LENGTH
        if forecast_s > max_wait_s or is_closed:
            raise self._make_refusal(forecast_s, forecast_s - max_wait_s)
        waiter = Waiter(
            organisation=request.organisation,
            weight=request.weight,
            cost_tokens=request.cost_tokens,
            deadline_s=now_s + spare_s,
            priority=0,
            entered_s=now_s,
            sequence=next(self._sequences),
        )
        position = len(state.queue)
        state.queue.push(waiter)
        if position >= MAX_LENGTH:
            self._drop_last(state, waiter)
        return QueueEntry(request.service, waiter, limits, forecast_s, position)

    def _drop_last(self, state: ServiceQueue, newcomer: Waiter) -> None:
        victim = state.queue.last()
        state.queue.remove(victim)
        victim.refusal = RefusedError(
            "too many requests wait for an endpoint",
            code=ErrorCode.OVERLOADED,
            retry_after=self._spread_delay(MIN_RETRY_AFTER_S),
        )
        victim.decided.set()
        if victim is newcomer:
            raise victim.refusal

    @staticmethod
    def _leave(
        state: ServiceQueue, waiter: Waiter, now_s: float, was_refused: bool
    ) -> None:
        state.queue.remove(waiter)
        state.window = 1 if was_refused else min(MAX_LENGTH, state.window + 1)
        state.last_wait_s = now_s - waiter.entered_s
        state.last_left_s = now_s
        _wake_first(state)

    def _make_refusal(self, wait_s: float, excess_s: float) -> RefusedError:
        return RefusedError(
            f"requests of this kind wait {wait_s:.2f} s before they are sent, "
            "too long for this one to be on time",
            code=ErrorCode.OVERLOADED,
            retry_after=self._spread_delay(max(MIN_RETRY_AFTER_S, excess_s)),
        )

    def _spread_delay(self, delay_s: float) -> timedelta:
        return timedelta(seconds=delay_s * (1 + (MAX_SPREAD - 1) * self._spread()))


def _find_limits(state: ServiceQueue, target_s: float, now_s: float) -> QueueLimits:
    shortest_s = state.find_shortest_s(target_s, now_s)
    if target_s < MIN_TARGET_RATIO * shortest_s:
        return QueueLimits(float("inf"), float("inf"), float("inf"))
    return QueueLimits(
        first_s=FIRST_LIMIT * shortest_s,
        last_s=LAST_LIMIT * shortest_s,
        idle_s=IDLE_LIMIT * shortest_s,
    )


def _interpolate_s(entry: QueueEntry, now_s: float) -> float:
    waiter, limits = entry.waiter, entry.limits
    fraction = (now_s - waiter.entered_s) / (waiter.deadline_s - waiter.entered_s)
    return limits.first_s + (limits.last_s - limits.first_s) * fraction


def _wake_first(state: ServiceQueue) -> None:
    first = state.queue.first()
    if first is not None:
        first.decided.set()
