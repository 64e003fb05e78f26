"""Thread-safe admission control."""

import threading
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.admission.admission_limits import AdmissionLimits
from oriolepaddle.admission.admission_queue import AdmissionQueue
from oriolepaddle.admission.admission_slot import AdmissionSlot
from oriolepaddle.admission.aim import Aim
from oriolepaddle.admission.fair_queue import FairQueue
from oriolepaddle.admission.waiter import Waiter
from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, RefusedError

__all__ = ["Admission"]


class Admission:
    """Blocks requests of one route until they may be sent to an endpoint.

    Thread-safe; each waiting thread waits on its own event.

    Args:
        clock: The clock.
        count_allowed: Returns how many requests this instance may run at once now,
            such as `Router.concurrency_limit` of the route.
        aim: The objective when the endpoints are saturated.
        limits: The limits of the queue; by default those of the aim.
    """

    def __init__(
        self,
        clock: Clock,
        count_allowed: Callable[[], int],
        aim: Aim = Aim.WORST_SERVED,
        limits: AdmissionLimits | None = None,
    ) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._estimated_wait_s = 0.0
        self._queue = AdmissionQueue(
            clock, count_allowed, FairQueue(), limits or AdmissionLimits.of(aim)
        )

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._queue.waiting

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._queue.running

    @property
    def estimated_wait_s(self) -> float:
        """Estimated wait of a new request in seconds, as of the last change.

        Read without the lock, so that the router may call it at any time.
        """
        return self._estimated_wait_s

    def enter(
        self,
        organisation: str,
        weight: float,
        prompt_tokens: int,
        output_tokens: int,
        deadline_s: float,
        priority: int = 0,
    ) -> AdmissionSlot:
        """Wait until a request may be sent to an endpoint.

        Args:
            organisation: Its organisation's id; any constant on open routes.
            weight: The organisation's weight.
            prompt_tokens: Estimated number of tokens of its prompt.
            output_tokens: Maximum number of tokens of its answer.
            deadline_s: Monotonic time by which the whole answer must be sent.
            priority: Higher values are admitted first within the organisation.

        Raises:
            RefusedError: `OVERLOADED` or `DEADLINE_UNREACHABLE`; the request
                was not run.
        """
        with self._lock:
            waiter = self._queue.join(
                organisation, weight, prompt_tokens, output_tokens, deadline_s, priority
            )
            self._estimated_wait_s = self._queue.estimate_wait_s()
            remaining_s = self._queue.latest_start_s(waiter) - self._clock.monotonic_s()
        self._wait_for_decision(waiter, max(0.0, remaining_s))
        self._check_deadline(waiter)
        if waiter.refusal is not None:
            raise waiter.refusal
        return AdmissionSlot(lambda: self._release(waiter))

    def capacity_changed(self) -> None:
        """Admit what may run after a load report or a ticket changed the capacity."""
        with self._lock:
            self._queue.admit()
            self._estimated_wait_s = self._queue.estimate_wait_s()

    def _wait_for_decision(self, waiter: Waiter, remaining_s: float) -> None:
        try:
            is_decided = self._clock.wait(
                waiter.decided, timedelta(seconds=remaining_s)
            )
        except BaseException:
            self._release(waiter)
            raise
        if not is_decided:
            with self._lock:
                self._queue.expire(waiter)
                self._estimated_wait_s = self._queue.estimate_wait_s()

    def _check_deadline(self, waiter: Waiter) -> None:
        # The process may have been suspended between the admission and the wake-up of
        # this thread.
        if waiter.refusal is None and self._clock.monotonic_s() >= waiter.deadline_s:
            self._release(waiter)
            raise RefusedError(
                "the deadline passed before the request was sent",
                code=ErrorCode.DEADLINE_UNREACHABLE,
            )

    def _release(self, waiter: Waiter) -> None:
        with self._lock:
            self._queue.leave(waiter)
            self._estimated_wait_s = self._queue.estimate_wait_s()
