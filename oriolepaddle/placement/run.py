"""A request that runs at an endpoint."""

import threading

from oriolepaddle.clock import Clock
from oriolepaddle.placement.choice import Choice
from oriolepaddle.placement.costs import CostEstimate
from oriolepaddle.placement.job import Job
from oriolepaddle.placement.load import EndpointLoad
from oriolepaddle.placement.paces import Pace, Paces
from oriolepaddle.placement.stall import StallDetector

__all__ = ["PlacedRun"]

MIN_IN_SLOT_FRACTION = 0.2
"""Smallest time in the slot as a fraction of the whole time of a plain request. The
wait before it is an estimate."""


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
        self._choice = choice
        self._uncached_tokens = choice.uncached_tokens
        self._stall_detector = StallDetector()
        self._has_first_byte = False
        self._is_suspected = False
        self._last_event_s: float | None = None
        self._events = 0
        self._cost: CostEstimate | None = None
        self._begins_s = self._started_s
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
            self._begin_work(choice)

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

    def find_error_ratio(self) -> float | None:
        """Return the time since the start as a multiple of the expected one.

        Returns:
            None if the endpoint reports no pace.
        """
        work = self._choice.work
        if work is None or work.expected_s <= 0:
            return None
        return (self._clock.monotonic_s() - self._started_s) / work.expected_s

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
            self._load.remaining.end(self._request_number)
            self._load.memory_tokens -= self._job.memory_tokens
            if not self._has_first_byte:
                self._load.prefill_tokens -= self._uncached_tokens

    def succeed(self) -> None:
        """Record a complete answer."""
        now_s = self._clock.monotonic_s()
        elapsed_s = self._find_usual_s(now_s)
        with self._lock:
            self._record_cost(now_s)
            self._load.silence_detector.discard(self._request_number)
            self._load.record_success()
            self._load.record_service_time(elapsed_s)
            stats = self._load.stream_stats.service
            stats.record_answer(self._events, self._job.output_tokens)

    def suspect(self) -> None:
        """Record that its response seems lost; it counts as a failure already."""
        if not self._is_suspected:
            self.fail(is_unreachable=False)
            self._is_suspected = True

    def fail(self, is_unreachable: bool) -> None:
        """Record a failure of the endpoint, which may be unreachable."""
        if self._is_suspected and not is_unreachable:
            return
        with self._lock:
            self._load.record_failure(self._clock.monotonic_s(), is_unreachable)

    def _find_pace(self) -> Pace | None:
        endpoint = self._load.endpoint
        return self._paces.find(endpoint.incarnation, endpoint.service)

    def _find_usual_s(self, now_s: float) -> float:
        """Return the seconds since the start without the deviation of the pace.

        They are those at the usual pace for plain services, and at the mean pace of the
        service for engines.
        """
        elapsed_s = now_s - self._started_s
        pace = self._find_pace()
        if pace is None:
            return elapsed_s
        usual_s = elapsed_s / pace.find_past_factor(self._started_s, now_s)
        if self._load.service.engine is None:
            return usual_s
        return usual_s * pace.find_service_factor()

    def _begin_work(self, choice: Choice) -> None:
        """Record the work of a plain request at an endpoint whose pace is known."""
        load = self._load
        pace = self._find_pace()
        if pace is None or load.service.engine is not None:
            return
        costs = load.remaining.costs
        self._cost = costs.estimate(self._job.route, self._job.size_bytes)
        in_slot_s = self._cost.mean_s * load.remaining.speed
        in_slot_s *= pace.find_factor(self._started_s, choice.expected_s)
        self._begins_s = self._started_s + max(0.0, choice.expected_s - in_slot_s)
        load.remaining.begin(self._request_number, self._cost.mean_s, self._begins_s)

    def _record_cost(self, now_s: float) -> None:
        pace = self._find_pace()
        if pace is None or self._cost is None:
            return
        elapsed_s = now_s - self._started_s
        in_slot_s = max(now_s - self._begins_s, MIN_IN_SLOT_FRACTION * elapsed_s)
        cost_s = in_slot_s / pace.find_past_factor(now_s - in_slot_s, now_s)
        self._load.remaining.record(self._cost, cost_s)
        self._load.remaining.costs.record(
            self._job.route, self._job.size_bytes, cost_s / self._load.remaining.speed
        )
