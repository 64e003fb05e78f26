"""An endpoint with slots, a queue and faults."""

from collections import deque
from collections.abc import Iterable

import numpy as np

from experiments.retries._events import EventLoop
from experiments.retries._request import Try
from oriolepaddle.errors import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from oriolepaddle.quarantine import ConnectionEnd, CrashEvidence, HealthAnswer

__all__ = ["EndpointModel"]

CONNECT_S = 0.003
CRASH_AFTER_S = 0.2
RESTART_S = 5.0


class EndpointModel:
    """Runs tries side by side up to its slots and queues the rest.

    Attributes:
        name: Its id.
        slowness: Factor on the time of each piece of work.
        is_refusing: Whether it refuses all.
        is_down: Whether no connection can be made.
        silent_share: Share of connections on which nothing ever comes back.
        incarnation: Its present life.
        busy_s: Time worked, over all slots, in seconds.
        crasher_crashes: Crashes by each fingerprint.
    """

    def __init__(
        self, loop: EventLoop, name: str, slots: int, rng: np.random.Generator
    ) -> None:
        self._loop = loop
        self._slots = slots
        self._rng = rng
        # A dict, since the order of a set would differ from run to run.
        self._running: dict[Try, None] = {}
        self._queue: deque[Try] = deque()
        self.name = name
        self.slowness = 1.0
        self.is_refusing = False
        self.is_down = False
        self.silent_share = 0.0
        self.incarnation = 1
        self.busy_s = 0.0
        self.crasher_crashes: dict[bytes, int] = {}

    def submit(self, attempt: Try) -> None:
        """Take in a try and run, queue or fail it."""
        if self.is_down:
            error = EndpointUnreachableError("no connection")
            self._loop.schedule(CONNECT_S, self._fail, attempt, error)
        elif self.is_refusing:
            error = EndpointRefusedError("refused")
            self._loop.schedule(CONNECT_S, self._fail, attempt, error)
        elif self.silent_share and self._rng.random() < self.silent_share:
            return
        elif len(self._running) < self._slots:
            self._start(attempt)
        else:
            self._queue.append(attempt)

    def cancel(self, attempt: Try) -> None:
        """End a try, and free its slot if it runs."""
        attempt.is_over = True
        if attempt in self._running:
            self._free(attempt)

    def crash(self, culprit: Try | None = None) -> None:
        """End the present life with all that is in flight, and restart."""
        if self.is_down:
            return
        if culprit is not None:
            fingerprint = culprit.request.fingerprint
            crashes = self.crasher_crashes.get(fingerprint, 0)
            self.crasher_crashes[fingerprint] = crashes + 1
        evidence = CrashEvidence(
            ConnectionEnd.RESET,
            HealthAnswer.REFUSED,
            incarnation_before=str(self.incarnation),
        )
        self.is_down = True
        self.incarnation += 1
        self._break_all(evidence)
        self._loop.schedule(RESTART_S, self._restart)

    def cut(self) -> None:
        """Lose all connections without a sign, as when a region is lost."""
        self.is_down = True
        self._count_busy(self._running)
        self._running.clear()
        self._queue.clear()

    def reset(self) -> None:
        """Break all connections, though the endpoint itself goes on."""
        life = str(self.incarnation)
        evidence = CrashEvidence(ConnectionEnd.RESET, HealthAnswer.ANSWERED, life, life)
        self._break_all(evidence)

    def _break_all(self, evidence: CrashEvidence) -> None:
        lost = [*self._running, *self._queue]
        self._count_busy(self._running)
        self._running.clear()
        self._queue.clear()
        for attempt in lost:
            self._fail(attempt, EndpointFailedError("reset"), evidence)

    def _restart(self) -> None:
        self.is_down = False

    def _start(self, attempt: Try) -> None:
        attempt.started_s = self._loop.now_s
        self._running[attempt] = None
        if attempt.request.is_crasher:
            self._loop.schedule(CRASH_AFTER_S, self._crash_by, attempt)
            return
        duration_s = attempt.request.work_s * self.slowness
        self._loop.schedule(duration_s, self._finish, attempt)

    def _crash_by(self, attempt: Try) -> None:
        if attempt in self._running:
            self.crash(attempt)

    def _finish(self, attempt: Try) -> None:
        if attempt not in self._running:
            return
        self._free(attempt)
        if not attempt.is_over:
            attempt.is_over = True
            attempt.on_answer(attempt)

    def _free(self, attempt: Try) -> None:
        self._running.pop(attempt, None)
        self._count_busy([attempt])
        while self._queue and len(self._running) < self._slots:
            waiting = self._queue.popleft()
            if not waiting.is_over:
                self._start(waiting)

    def _count_busy(self, attempts: Iterable[Try]) -> None:
        now_s = self._loop.now_s
        self.busy_s += sum(now_s - attempt.started_s for attempt in attempts)

    def _fail(
        self, attempt: Try, error: Exception, evidence: CrashEvidence | None = None
    ) -> None:
        if not attempt.is_over:
            attempt.is_over = True
            attempt.on_failure(attempt, error, evidence)
