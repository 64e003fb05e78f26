"""A request while it runs at an endpoint."""

import threading

from oriolepaddle.clock import Clock
from oriolepaddle.placement.choice import Choice
from oriolepaddle.placement.job import Job
from oriolepaddle.placement.load import EndpointLoad

__all__ = ["PlacedRun"]


class PlacedRun:
    """The placer's account of one run.

    Args:
        clock: The time.
        lock: The placer's lock.
        load: The endpoint's load.
        choice: The placement.
        job: The request.
    """

    def __init__(
        self,
        clock: Clock,
        lock: threading.Lock,
        load: EndpointLoad,
        choice: Choice,
        job: Job,
    ) -> None:
        self._clock = clock
        self._lock = lock
        self._load = load
        self._job = job
        self._started_s = clock.monotonic_s()
        self._uncached = choice.uncached_tokens
        self._has_begun = False
        self._heard_s: float | None = None
        self._events = 0
        with lock:
            self._unread = load.total(self._started_s).prefill_tokens + self._uncached
            self._number = load.silence.expect(self._started_s, choice.expected_s)
            load.running += 1
            load.prefill_tokens += self._uncached
            load.memory_tokens += job.memory_tokens
            load.note_prompt(job, self._started_s)

    def record_first_byte(self) -> None:
        """Note the first byte of the answer; later calls do nothing."""
        if self._has_begun:
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._has_begun = True
            self._load.silence.answer(self._number)
            self._load.prefill_tokens -= self._uncached
            elapsed_s = now_s - self._started_s
            self._load.learn_first_byte(elapsed_s, self._unread, now_s)

    def record_activity(self) -> None:
        """Note that something came from the endpoint, mostly an event."""
        now_s = self._clock.monotonic_s()
        self._load.silence.record_activity(now_s)
        self._events += 1
        if self._heard_s is not None:
            self._load.pace.note_pause(now_s - self._heard_s, now_s)
        self._heard_s = now_s

    def seems_lost(self) -> bool:
        """Return whether it waits for an answer that seems to be lost."""
        if self._has_begun:
            return False
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._load.silence.seems_lost(self._number, now_s)

    def end(self) -> None:
        """Note the end of the run, whatever it was."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if self._load.silence.seems_lost(self._number, now_s):
                # Without the requests that wait in vain it would look idle.
                self._load.fail(now_s, self._load.silence.is_silent(now_s))
            self._load.silence.forget(self._number)
            self._load.running -= 1
            self._load.memory_tokens -= self._job.memory_tokens
            if not self._has_begun:
                self._load.prefill_tokens -= self._uncached

    def succeed(self) -> None:
        """Note a whole answer."""
        elapsed_s = self._clock.monotonic_s() - self._started_s
        with self._lock:
            self._load.silence.forget(self._number)
            self._load.succeed()
            self._load.learn_service(elapsed_s)
            shape = self._load.pace.service
            shape.learn_answer(self._events, self._job.output_tokens)

    def fail(self, is_gone: bool) -> None:
        """Note a failure of the endpoint, which may be gone from its address."""
        with self._lock:
            self._load.fail(self._clock.monotonic_s(), is_gone)
