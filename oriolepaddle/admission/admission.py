"""Admission of requests from many threads."""

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
    """Holds requests of one route back until they may go to an endpoint.

    Safe for use by many threads; each waits on its own event.

    Args:
        clock: The clock.
        count_allowed: Returns how many requests this instance may have running
            now, such as `Router.concurrency_limit` of the route.
        aim: What to aim for when the endpoints are full.
        limits: The bounds of the queue; by default those of the aim.
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
        self._wait_s = 0.0
        self._queue = AdmissionQueue(
            clock, count_allowed, FairQueue(), limits or AdmissionLimits.of(aim)
        )

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return self._queue.waiting

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._queue.running

    @property
    def estimated_wait_s(self) -> float:
        """Seconds that a request would wait, as of the last change."""
        return self._wait_s

    def enter(
        self,
        organisation: str,
        weight: float,
        prompt_tokens: int,
        output_tokens: int,
        deadline_s: float,
        priority: int = 0,
    ) -> AdmissionSlot:
        """Wait until a request may go to an endpoint.

        Args:
            organisation: Its organisation's id; on open routes any constant.
            weight: The organisation's weight.
            prompt_tokens: Estimated tokens of its prompt.
            output_tokens: Tokens that its answer may have.
            deadline_s: Monotonic time by which the whole answer must be sent.
            priority: Within its organisation a higher one goes first.

        Raises:
            RefusedError: `OVERLOADED` or `DEADLINE_UNREACHABLE`; the request
                was not run.
        """
        with self._lock:
            waiter = self._queue.join(
                organisation, weight, prompt_tokens, output_tokens, deadline_s, priority
            )
            self._wait_s = self._queue.estimate_wait_s()
            left_s = self._queue.latest_start_s(waiter) - self._clock.monotonic_s()
        self._await(waiter, max(0.0, left_s))
        self._check_late(waiter)
        if waiter.refusal is not None:
            raise waiter.refusal
        return AdmissionSlot(lambda: self._leave(waiter))

    def capacity_changed(self) -> None:
        """Admit what may run now, after a load report or a ticket."""
        with self._lock:
            self._queue.admit()
            self._wait_s = self._queue.estimate_wait_s()

    def _await(self, waiter: Waiter, left_s: float) -> None:
        try:
            is_decided = self._clock.wait(waiter.decided, timedelta(seconds=left_s))
        except BaseException:
            self._leave(waiter)
            raise
        if not is_decided:
            with self._lock:
                self._queue.expire(waiter)
                self._wait_s = self._queue.estimate_wait_s()

    def _check_late(self, waiter: Waiter) -> None:
        # The process may have slept between the admission and this thread's turn.
        if waiter.refusal is None and self._clock.monotonic_s() >= waiter.deadline_s:
            self._leave(waiter)
            raise RefusedError(
                "the deadline passed before the request was sent",
                code=ErrorCode.DEADLINE_UNREACHABLE,
            )

    def _leave(self, waiter: Waiter) -> None:
        with self._lock:
            self._queue.leave(waiter)
            self._wait_s = self._queue.estimate_wait_s()
