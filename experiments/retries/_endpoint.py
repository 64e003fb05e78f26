"""A model of an endpoint with slots, a queue and injected faults."""

from collections import deque
from collections.abc import Iterable

import numpy as np

from experiments.retries._events import EventLoop
from experiments.retries._request import Attempt
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
    """Runs attempts in parallel up to its number of slots and queues the rest.

    Attributes:
        name: The endpoint's id.
        slowness: Factor on the duration of each attempt.
        is_refusing: Whether it refuses all attempts.
        is_down: Whether it accepts no connections.
        silent_share: Share of the connections that never get a reply.
        incarnation: The number of the current incarnation.
        busy_s: Busy time of all slots together, in seconds.
        crashes_by_fingerprint: Number of crashes that each fingerprint caused.
    """

    def __init__(
        self, loop: EventLoop, name: str, slots: int, rng: np.random.Generator
    ) -> None:
        self._loop = loop
        self._slots = slots
        self._rng = rng
        # A dict keeps the order; that of a set would differ from run to run.
        self._running: dict[Attempt, None] = {}
        self._queue: deque[Attempt] = deque()
        self.name = name
        self.slowness = 1.0
        self.is_refusing = False
        self.is_down = False
        self.silent_share = 0.0
        self.incarnation = 1
        self.busy_s = 0.0
        self.crashes_by_fingerprint: dict[bytes, int] = {}

    def submit(self, attempt: Attempt) -> None:
        """Run, queue or fail an attempt."""
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

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt and release its slot, if it has one."""
        attempt.is_over = True
        if attempt in self._running:
            self._release_slot(attempt)

    def crash(self, culprit: Attempt | None = None) -> None:
        """Fail all attempts in flight and restart with the next incarnation."""
        if self.is_down:
            return
        if culprit is not None:
            fingerprint = culprit.request.fingerprint
            crashes = self.crashes_by_fingerprint.get(fingerprint, 0)
            self.crashes_by_fingerprint[fingerprint] = crashes + 1
        evidence = CrashEvidence(
            ConnectionEnd.RESET,
            HealthAnswer.REFUSED,
            incarnation_before=str(self.incarnation),
        )
        self.is_down = True
        self.incarnation += 1
        self._reset_all(evidence)
        self._loop.schedule(RESTART_S, self._restart)

    def drop_connections(self) -> None:
        """Drop all connections silently, as when a region becomes unreachable."""
        self.is_down = True
        self._count_busy(self._running)
        self._running.clear()
        self._queue.clear()

    def reset_connections(self) -> None:
        """Reset all connections while the incarnation continues."""
        incarnation = str(self.incarnation)
        evidence = CrashEvidence(
            ConnectionEnd.RESET, HealthAnswer.ANSWERED, incarnation, incarnation
        )
        self._reset_all(evidence)

    def _reset_all(self, evidence: CrashEvidence) -> None:
        attempts = [*self._running, *self._queue]
        self._count_busy(self._running)
        self._running.clear()
        self._queue.clear()
        for attempt in attempts:
            self._fail(attempt, EndpointFailedError("reset"), evidence)

    def _restart(self) -> None:
        self.is_down = False

    def _start(self, attempt: Attempt) -> None:
        attempt.started_s = self._loop.now_s
        self._running[attempt] = None
        if attempt.request.is_crasher:
            self._loop.schedule(CRASH_AFTER_S, self._crash_if_running, attempt)
            return
        duration_s = attempt.request.work_s * self.slowness
        self._loop.schedule(duration_s, self._finish, attempt)

    def _crash_if_running(self, attempt: Attempt) -> None:
        if attempt in self._running:
            self.crash(attempt)

    def _finish(self, attempt: Attempt) -> None:
        if attempt not in self._running:
            return
        self._release_slot(attempt)
        if not attempt.is_over:
            attempt.is_over = True
            attempt.on_answer(attempt)

    def _release_slot(self, attempt: Attempt) -> None:
        self._running.pop(attempt, None)
        self._count_busy([attempt])
        while self._queue and len(self._running) < self._slots:
            queued = self._queue.popleft()
            if not queued.is_over:
                self._start(queued)

    def _count_busy(self, attempts: Iterable[Attempt]) -> None:
        now_s = self._loop.now_s
        self.busy_s += sum(now_s - attempt.started_s for attempt in attempts)

    def _fail(
        self, attempt: Attempt, error: Exception, evidence: CrashEvidence | None = None
    ) -> None:
        if not attempt.is_over:
            attempt.is_over = True
            attempt.on_failure(attempt, error, evidence)
