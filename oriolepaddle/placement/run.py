"""A request that runs at an endpoint."""

import threading

from oriolepaddle.clock import Clock
from oriolepaddle.placement.choice import Choice
from oriolepaddle.placement.job import Job
from oriolepaddle.placement.load import EndpointLoad
from oriolepaddle.placement.paces import Paces
from oriolepaddle.placement.stall import StallDetector

__all__ = ["PlacedRun"]


class PlacedRun:
    """Records the progress of one placed request in its endpoint's load.

    Args:
        clock: The clock.
        lock: The placer's lock.
        load: The endpoint's load.
        choice: The placement.
        job: The request.
        paces: The paces that endpoints report.
    """

    def __init__(
        self,
        clock: Clock,
        lock: threading.Lock,
        load: EndpointLoad,
        choice: Choice,
        job: Job,
        paces: Paces,
    ) -> None:
        self._clock = clock
        self._lock = lock
        self._load = load
        self._job = job
        self._paces = paces
        self._started_s = clock.monotonic_s()
        self._uncached_tokens = choice.uncached_tokens
        self._stall_detector = StallDetector()
        self._has_first_byte = False
        self._last_event_s: float | None = None
        self._events = 0
        with lock:
            self._unread_tokens = (
                load.total_load(self._started_s).prefill_tokens + self._uncached_tokens
            )
            self._request_number = load.silence_detector.record_sent(
                self._started_s, choice.expected_s
            )
            load.running += 1
            load.prefill_tokens += self._uncached_tokens
            load.memory_tokens += job.memory_tokens
            load.record_prompt(job, self._started_s)

    def record_first_byte(self) -> None:
        """Record the first byte of the answer; later calls do nothing."""
        if self._has_first_byte:
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._has_first_byte = True
            self._load.silence_detector.record_first_byte(self._request_number)
            self._load.prefill_tokens -= self._uncached_tokens
            elapsed_s = self._find_usual_s(now_s)
            self._load.record_first_byte(elapsed_s, self._unread_tokens, now_s)

    def record_activity(self) -> None:
        """Record that data was received from the endpoint, mostly an event."""
        now_s = self._clock.monotonic_s()
        self._load.silence_detector.record_activity(now_s)
        self._events += 1
        if self._last_event_s is not None:
            self._load.stream_stats.record_interval(now_s - self._last_event_s, now_s)
        self._last_event_s = now_s

    def seems_lost(self) -> bool:
        """Return whether its answer is overdue or stalled, and probably lost.

        Must be called periodically; see `StallDetector`.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            silence_detector = self._load.silence_detector
            if not self._has_first_byte:
                return silence_detector.seems_lost(self._request_number, now_s)
            interval_s = self._load.stream_stats.service.interval_s
            return self._stall_detector.check(
                now_s, silence_detector.last_activity_s, interval_s
            )

    def end(self) -> None:
        """Record the end of the run, whatever its outcome."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if self._load.silence_detector.seems_lost(self._request_number, now_s):
                # Once its overdue requests are removed, the endpoint would look idle.
                self._load.record_failure(
                    now_s, self._load.silence_detector.is_silent(now_s)
                )
            self._load.silence_detector.discard(self._request_number)
            self._load.running -= 1
            self._load.memory_tokens -= self._job.memory_tokens
            if not self._has_first_byte:
                self._load.prefill_tokens -= self._uncached_tokens

    def succeed(self) -> None:
        """Record a complete answer."""
        elapsed_s = self._find_usual_s(self._clock.monotonic_s())
        with self._lock:
            self._load.silence_detector.discard(self._request_number)
            self._load.record_success()
            self._load.record_service_time(elapsed_s)
            stats = self._load.stream_stats.service
            stats.record_answer(self._events, self._job.output_tokens)

    def fail(self, is_unreachable: bool) -> None:
        """Record a failure of the endpoint, which may be unreachable."""
        with self._lock:
            self._load.record_failure(self._clock.monotonic_s(), is_unreachable)

    def _find_usual_s(self, now_s: float) -> float:
        """Return the seconds since the start, as they would be at the usual pace."""
        elapsed_s = now_s - self._started_s
        endpoint = self._load.endpoint
        pace = self._paces.find(endpoint.incarnation, endpoint.service)
        if pace is None:
            return elapsed_s
        return elapsed_s / pace.find_past_factor(self._started_s, now_s)
