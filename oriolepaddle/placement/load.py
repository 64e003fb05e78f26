"""One instance's estimate of an endpoint's load."""

import math
from collections import deque

import attrs

from oriolepaddle.catalog import EndpointService, RegisteredEndpoint
from oriolepaddle.logs import log_event
from oriolepaddle.placement.choice import ExpectedWork
from oriolepaddle.placement.cold_start import ColdStartBucket
from oriolepaddle.placement.costs import RequestCosts
from oriolepaddle.placement.job import Job, PromptPart
from oriolepaddle.placement.paces import Pace
from oriolepaddle.placement.prefix_history import PrefixHistory
from oriolepaddle.placement.remaining import RemainingWork, estimate_wait_s
from oriolepaddle.placement.silence import SilenceDetector
from oriolepaddle.placement.stream_stats import EndpointStreamStats, ServiceStreamStats

__all__ = ["EndpointLoad", "PeerLoad"]

INITIAL_PREFILL_TOKENS_PER_S = 90_000.0
"""Initial prefill speed. The measured correction factor is relative to it."""
ENGINE_BASE_LATENCY_S = 0.02
"""Time to the first event without any prefill: one step and the network round trip."""
INITIAL_SERVICE_S = 0.08
"""Initial estimate of the duration of a plain request."""
INITIAL_STREAM_S = 2.0
"""Initial estimate of the time for which a stream occupies its slot."""
SERVICE_TIME_WEIGHT = 0.15
PREFILL_DECAY_S = 4.0
"""Time constant of the exponential decay of prefill speed samples."""
PRIOR_PREFILL_S = 0.15
"""Weight, as prefill time, of the prior that an endpoint has the initial speed."""
MIN_PREFILL_SAMPLE_TOKENS = 500
MIN_CORRECTION, MAX_CORRECTION = 0.3, 8.0
MIN_EXPECTED_PREFILL_S = 0.01
FAILURE_WEIGHT = 0.25
FAILURE_COST_S = 1.5
"""Assumed cost of a failure to the caller; scaled by the failure rate."""
MIN_BLOCK_S, MAX_BLOCK_S = 0.4, 3.0
"""Range of the backoff after an endpoint was unreachable; doubled at each failure."""
PEER_LOAD_MAX_AGE_S = 1.5
"""Age at which a peer's load report expires."""
SENT_PROMPT_REPORT_S = 0.6
"""Time for which a sent prompt is reported to peers: longer than the interval between
two reports, so that one report may be lost."""
MIN_REPORTED_TOKENS = 2000
"""Minimum length of prompts reported to peers. An engine prefills the prefix of a
shorter one again in some ten milliseconds."""
MAX_REPORTED_ID_LENGTH = 64
"""Maximum length of a reported part id, in characters. Callers choose the ids, and a
thousand must fit into a datagram."""
PREEMPTION_MEMORY_FRACTION = 0.92
"""Fraction of an engine's memory above which it begins to preempt requests."""


@attrs.frozen
class PeerLoad:
    """The load at an endpoint from one or more instances.

    Attributes:
        running: Number of running requests.
        prefill_tokens: Tokens of their prompts that are not prefilled yet.
        memory_tokens: Maximum tokens of memory that they may occupy.
        measured_prefill_s: Measured prefill time of recent prompts, decayed.
        expected_prefill_s: Prefill time of the same prompts at the initial speed.
        sent_parts: Parts of the prompts that were recently sent there.
    """

    running: int
    prefill_tokens: int
    memory_tokens: int = 0
    measured_prefill_s: float = 0.0
    expected_prefill_s: float = 0.0
    sent_parts: tuple[PromptPart, ...] = ()

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to report."""
        is_quiet = not self.running and not self.sent_parts
        return is_quiet and self.expected_prefill_s < MIN_EXPECTED_PREFILL_S

    def add(self, other: "PeerLoad") -> "PeerLoad":
        """Return the sum of both loads."""
        return PeerLoad(
            self.running + other.running,
            self.prefill_tokens + other.prefill_tokens,
            self.memory_tokens + other.memory_tokens,
            self.measured_prefill_s + other.measured_prefill_s,
            self.expected_prefill_s + other.expected_prefill_s,
            tuple(dict.fromkeys(self.sent_parts + other.sent_parts)),
        )

    def subtract(self, other: "PeerLoad") -> "PeerLoad":
        """Return the rest of a sum without one of its summands.

        The sent parts stay, as another instance may have sent the same.
        """
        return PeerLoad(
            self.running - other.running,
            self.prefill_tokens - other.prefill_tokens,
            self.memory_tokens - other.memory_tokens,
            max(0.0, self.measured_prefill_s - other.measured_prefill_s),
            max(0.0, self.expected_prefill_s - other.expected_prefill_s),
            self.sent_parts,
        )


class EndpointLoad:
    """The state of one incarnation of an endpoint.

    Not thread-safe; protected by the placer's lock.

    Args:
        endpoint: The endpoint.
        service: Its service.
        now_s: Monotonic seconds.
        cold_share: This instance's share of its request rate during a cold start.
        stream_stats: The statistics of its service's streams.
        costs: The costs of its service's requests.
    """

    def __init__(
        self,
        endpoint: RegisteredEndpoint,
        service: EndpointService,
        now_s: float,
        cold_share: float = 1.0,
        stream_stats: ServiceStreamStats | None = None,
        costs: RequestCosts | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.service = service
        self.running = 0
        self.prefill_tokens = 0
        self.memory_tokens = 0
        engine = service.engine
        self.slots = engine.slots if engine else endpoint.slots
        self.prefix_history = PrefixHistory(engine.cache_tokens if engine else 0)
        self._sent_prompts: deque[tuple[float, tuple[PromptPart, ...]]] = deque()
        self.cold_bucket = ColdStartBucket(
            service.cold_requests_per_s, now_s, cold_share
        )
        self._peer_loads: dict[str, tuple[float, PeerLoad]] = {}
        self._measured_prefill_s = 0.0
        self._expected_prefill_s = 0.0
        self._decayed_s = now_s
        self._service_s = INITIAL_STREAM_S if engine else INITIAL_SERVICE_S
        self.remaining = RemainingWork(costs or RequestCosts())
        self._failure_rate = 0.0
        self._blocked_until_s = 0.0
        self._block_s = 0.0
        self.silence_detector = SilenceDetector()
        self._was_silent = False
        self.stream_stats = EndpointStreamStats(stream_stats or ServiceStreamStats())

    def is_blocked(self, now_s: float) -> bool:
        """Return whether it is avoided because it was unreachable or is silent."""
        return now_s < self._blocked_until_s or self.silence_detector.is_silent(now_s)

    def log_silence_change(self, now_s: float) -> None:
        """Log when it becomes silent or responsive again."""
        is_silent = self.silence_detector.is_silent(now_s)
        if is_silent == self._was_silent:
            return
        self._was_silent = is_silent
        log_event(
            "endpoint_silent" if is_silent else "endpoint_heard",
            endpoint=self.endpoint.id,
            address=self.endpoint.address,
            waiting=self.silence_detector.waiting,
            silent_s=self.silence_detector.silent_s(now_s),
            running=self.running,
        )

    def is_cold(self, now_s: float) -> bool:
        """Return whether its request rate is limited during its cold start."""
        return now_s < self.endpoint.cold_until_s

    def set_peer_load(self, name: str, load: PeerLoad, now_s: float) -> None:
        """Apply another instance's report of its load."""
        if load.is_idle:
            self._peer_loads.pop(name, None)
        else:
            self._peer_loads[name] = (now_s, load)
        self.prefix_history.record(load.sent_parts)

    def record_prompt(self, job: Job, now_s: float) -> None:
        """Record that a prompt is sent there."""
        self.prefix_history.record(job.parts)
        if job.input_tokens < MIN_REPORTED_TOKENS:
            return
        if all(len(part.id) <= MAX_REPORTED_ID_LENGTH for part in job.parts):
            self._sent_prompts.append((now_s, job.parts))

    def report(self, now_s: float) -> PeerLoad:
        """Return this instance's load with its recently sent prompts, for the peers."""
        while (
            self._sent_prompts
            and now_s - self._sent_prompts[0][0] > SENT_PROMPT_REPORT_S
        ):
            self._sent_prompts.popleft()
        if not self._sent_prompts:
            return self.own_load(now_s)
        parts = dict.fromkeys(part for _, sent in self._sent_prompts for part in sent)
        return attrs.evolve(self.own_load(now_s), sent_parts=tuple(parts))

    def own_load(self, now_s: float) -> PeerLoad:
        """Return the load from this instance, without sent prompts."""
        self._decay(now_s)
        return PeerLoad(
            self.running,
            self.prefill_tokens,
            self.memory_tokens,
            self._measured_prefill_s,
            self._expected_prefill_s,
        )

    def total_load(self, now_s: float) -> PeerLoad:
        """Return the load from this instance and all unexpired peer reports."""
        own = self.own_load(now_s)
        # Sums plain numbers instead of calling `PeerLoad.add`: this runs for each
        # request, and a hub has reports from every instance of its region.
        running, prefill, memory = own.running, own.prefill_tokens, own.memory_tokens
        measured_s, expected_s = own.measured_prefill_s, own.expected_prefill_s
        for received_s, load in self._peer_loads.values():
            if now_s - received_s < PEER_LOAD_MAX_AGE_S:
                running += load.running
                prefill += load.prefill_tokens
                memory += load.memory_tokens
                measured_s += load.measured_prefill_s
                expected_s += load.expected_prefill_s
        return PeerLoad(running, prefill, memory, measured_s, expected_s)

    @property
    def service_s(self) -> float:
        """The average seconds for which a request occupies its slot."""
        return self._service_s

    def estimate_first_byte_s(
        self, job: Job, uncached_tokens: int, total: PeerLoad
    ) -> float:
        """Return the expected time to the first byte if a request is sent now.

        Args:
            job: The request.
            uncached_tokens: Tokens of its prompt to prefill.
            total: The load from all instances, as returned by `total_load`.
        """
        excess = max(0, total.running + 1 - self.slots)
        waiting_s = excess * self._service_s / self.slots
        if self.service.engine is None:
            return waiting_s + self._service_s
        prefill_s = _estimate_prefill_s(total.prefill_tokens + uncached_tokens, total)
        capacity = self.service.engine.cache_tokens * PREEMPTION_MEMORY_FRACTION
        over = total.memory_tokens + job.memory_tokens - capacity
        memory_s = max(0.0, over / capacity) * self._service_s
        return ENGINE_BASE_LATENCY_S + waiting_s + prefill_s + memory_s

    def estimate_work(
        self,
        job: Job,
        uncached_tokens: int,
        total: PeerLoad,
        pace: Pace,
        now_s: float,
    ) -> ExpectedWork:
        """Return the expected time, and its basis, where the pace is known.

        Args:
            job: The request.
            uncached_tokens: Tokens of its prompt to prefill.
            total: The load from all instances, as returned by `total_load`.
            pace: The endpoint's pace.
            now_s: Monotonic seconds.
        """
        if self.service.engine is not None:
            # All instances learn the speed of reading prompts together, at the mean
            # pace of the service.
            usual_s = self.estimate_first_byte_s(job, uncached_tokens, total)
            return _expect_work(
                usual_s, None, None, pace, now_s, 1 / pace.find_service_factor()
            )
        remaining = self.remaining
        cost_s = remaining.costs.estimate(job.route, job.size_bytes).mean_s
        others = total.running - self.running
        mean_s = remaining.costs.estimate_remainder_s(cost_s, 0.0)
        rest_s = others * mean_s
        if self.running:
            rest_s += remaining.own_s(now_s, pace.find_factor(now_s, 0.0))
        wait_s = estimate_wait_s(total.running, others, rest_s, cost_s, self.slots)
        usual_s = wait_s + cost_s
        return _expect_work(usual_s, cost_s, rest_s, pace, now_s, remaining.speed)

    def estimate_stream_s(self, job: Job, now_s: float) -> float:
        """Return the expected time from a request's first event to its last."""
        if self.service.engine is None:
            return 0.0
        return self.stream_stats.estimate_duration_s(job.output_tokens, now_s)

    def estimate_interference_s(self, uncached_tokens: int, total: PeerLoad) -> float:
        """Return the delay that a prompt's prefill causes, summed over the streams."""
        if self.service.engine is None:
            return 0.0
        return total.running * _estimate_prefill_s(uncached_tokens, total)

    def failure_penalty_s(self) -> float:
        """Return the expected cost of a failure, in seconds."""
        return self._failure_rate * FAILURE_COST_S

    def record_first_byte(
        self, elapsed_s: float, unread_tokens: int, now_s: float
    ) -> None:
        """Update the measured prefill speed.

        Args:
            elapsed_s: Seconds from sending the request to its first event.
            unread_tokens: Tokens that were to be prefilled before that event when the
                request was sent, those of earlier requests included.
            now_s: Monotonic seconds.
        """
        if unread_tokens < MIN_PREFILL_SAMPLE_TOKENS:
            return
        self._decay(now_s)
        self._measured_prefill_s += max(0.0, elapsed_s - ENGINE_BASE_LATENCY_S)
        self._expected_prefill_s += unread_tokens / INITIAL_PREFILL_TOKENS_PER_S

    def record_service_time(self, elapsed_s: float) -> None:
        """Update the average time for which a request occupies its slot."""
        self._service_s += SERVICE_TIME_WEIGHT * (elapsed_s - self._service_s)

    def record_success(self) -> None:
        """Record a complete answer."""
        self._failure_rate *= 1 - FAILURE_WEIGHT
        self._block_s = 0.0

    def record_failure(self, now_s: float, is_unreachable: bool) -> None:
        """Record a failure; an unreachable endpoint is blocked for a backoff."""
        self._failure_rate += FAILURE_WEIGHT * (1 - self._failure_rate)
        if is_unreachable:
            self._block_s = min(max(MIN_BLOCK_S, self._block_s * 2), MAX_BLOCK_S)
            self._blocked_until_s = now_s + self._block_s

    def _decay(self, now_s: float) -> None:
        decay = math.exp(-(now_s - self._decayed_s) / PREFILL_DECAY_S)
        self._decayed_s = now_s
        self._measured_prefill_s *= decay
        self._expected_prefill_s *= decay


def _expect_work(
    usual_s: float,
    cost_s: float | None,
    remaining_s: float | None,
    pace: Pace,
    now_s: float,
    speed: float = 1.0,
) -> ExpectedWork:
    factor = speed * pace.find_factor(now_s, usual_s)
    reading = pace.last_reading
    if reading is None:
        return ExpectedWork(usual_s * factor, cost_s, remaining_s, factor)
    at_s, reported = reading
    return ExpectedWork(
        usual_s * factor, cost_s, remaining_s, factor, reported, now_s - at_s
    )


def _estimate_prefill_s(tokens: int, total: PeerLoad) -> float:
    return tokens / INITIAL_PREFILL_TOKENS_PER_S * _find_correction(total)


def _find_correction(total: PeerLoad) -> float:
    ratio = (PRIOR_PREFILL_S + total.measured_prefill_s) / (
        PRIOR_PREFILL_S + total.expected_prefill_s
    )
    return min(max(ratio, MIN_CORRECTION), MAX_CORRECTION)
