"""What one instance knows of an endpoint's load."""

import math
from collections import deque

import attrs

from oriolepaddle.catalog import EndpointService, RegisteredEndpoint
from oriolepaddle.logs import log_event
from oriolepaddle.placement.cold_start import ColdStartBucket
from oriolepaddle.placement.job import Job, PromptPart
from oriolepaddle.placement.pace import EndpointPace, ServicePace
from oriolepaddle.placement.prefix_history import PrefixHistory
from oriolepaddle.placement.silence import SilenceWatch

__all__ = ["EndpointLoad", "PeerLoad"]

PREFILL_TOKENS_PER_S = 90_000.0
"""Speed of reading prompts before it is learned; the correction scales it."""
ENGINE_BASE_S = 0.02
"""Time to a first event without any prompt: a step and the way there and back."""
FIRST_SERVICE_S = 0.08
"""Time of a plain request before it is learned."""
FIRST_STREAM_S = 2.0
"""Time that a stream holds its slot before it is learned."""
LEARNING_WEIGHT = 0.15
LEARNING_MEMORY_S = 4.0
"""Time constant with which samples of the speed of prefill fade."""
PRIOR_S = 0.15
"""Reading time for which the speed of a new endpoint is taken for granted."""
MIN_SAMPLE_TOKENS = 500
MIN_CORRECTION, MAX_CORRECTION = 0.3, 8.0
LEAST_EXPECTED_S = 0.01
FAILURE_WEIGHT = 0.25
FAILURE_COST_S = 1.5
"""Time that a certain failure is taken to cost the caller."""
FIRST_BLOCK_S, MAX_BLOCK_S = 0.4, 3.0
"""Pauses after an endpoint could not be reached; doubled at each failure."""
PEER_LOAD_MEMORY_S = 1.5
"""Age at which a peer's word on its own load counts no longer."""
TOLD_FOR_S = 0.6
"""Time for which others are told of a prompt: longer than the time between two words
to them, so that one may be lost."""
LEAST_TOLD_TOKENS = 2000
"""Prompts below which an engine reads the beginning anew in some ten milliseconds."""
LONGEST_TOLD_ID = 64
"""Characters; callers choose the names of parts, and a thousand go into a datagram."""
MEMORY_PART = 0.92
"""Part of an engine's memory above which it begins to preempt runs."""


@attrs.frozen
class PeerLoad:
    """What another instance has running at an endpoint.

    Attributes:
        running: Its requests there.
        prefill_tokens: Tokens of their prompts that are still to be read.
        memory_tokens: Tokens of memory that they may hold.
        measured_prefill_s: Seconds that its prompts took to be read of late.
        expected_prefill_s: Seconds that were expected of them without a correction.
        sent_parts: Parts of the prompts that were sent there of late.
    """

    running: int
    prefill_tokens: int
    memory_tokens: int = 0
    measured_prefill_s: float = 0.0
    expected_prefill_s: float = 0.0
    sent_parts: tuple[PromptPart, ...] = ()

    @property
    def is_idle(self) -> bool:
        """Whether it tells nothing."""
        is_quiet = not self.running and not self.sent_parts
        return is_quiet and self.expected_prefill_s < LEAST_EXPECTED_S

    def add(self, other: "PeerLoad") -> "PeerLoad":
        """Return both loads together."""
        return PeerLoad(
            self.running + other.running,
            self.prefill_tokens + other.prefill_tokens,
            self.memory_tokens + other.memory_tokens,
            self.measured_prefill_s + other.measured_prefill_s,
            self.expected_prefill_s + other.expected_prefill_s,
            tuple(dict.fromkeys(self.sent_parts + other.sent_parts)),
        )


class EndpointLoad:
    """The state of one life of an endpoint; the placer holds its lock.

    Args:
        endpoint: The endpoint.
        service: Its service.
        now_s: Monotonic seconds.
        cold_share: This instance's part of what it bears while it is cold.
        pace: The pace of its service's streams.
    """

    def __init__(
        self,
        endpoint: RegisteredEndpoint,
        service: EndpointService,
        now_s: float,
        cold_share: float = 1.0,
        pace: ServicePace | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.service = service
        self.running = 0
        self.prefill_tokens = 0
        self.memory_tokens = 0
        engine = service.engine
        self.slots = engine.slots if engine else endpoint.slots
        self.history = PrefixHistory(engine.cache_tokens if engine else 0)
        self._sent: deque[tuple[float, tuple[PromptPart, ...]]] = deque()
        self.cold = ColdStartBucket(service.cold_requests_per_s, now_s, cold_share)
        self._peers: dict[str, tuple[float, PeerLoad]] = {}
        self._reading_s = 0.0
        self._expected_s = 0.0
        self._faded_s = now_s
        self._service_s = FIRST_STREAM_S if engine else FIRST_SERVICE_S
        self._failure_rate = 0.0
        self._blocked_until_s = 0.0
        self._block_s = 0.0
        self.silence = SilenceWatch()
        self._was_silent = False
        self.pace = EndpointPace(pace or ServicePace())

    def is_blocked(self, now_s: float) -> bool:
        """Return whether it is left alone, as it cannot be reached or is silent."""
        return now_s < self._blocked_until_s or self.silence.is_silent(now_s)

    def note_silence(self, now_s: float) -> None:
        """Log that it has fallen silent or is heard again."""
        is_silent = self.silence.is_silent(now_s)
        if is_silent == self._was_silent:
            return
        self._was_silent = is_silent
        log_event(
            "endpoint_silent" if is_silent else "endpoint_heard",
            endpoint=self.endpoint.id,
            address=self.endpoint.address,
            waiting=self.silence.waiting,
            silent_s=self.silence.silent_s(now_s),
            running=self.running,
        )

    def is_cold(self, now_s: float) -> bool:
        """Return whether it bears only the rate of a cold start."""
        return now_s < self.endpoint.cold_until_s

    def set_peer(self, name: str, load: PeerLoad, now_s: float) -> None:
        """Take in what another instance says of its own requests."""
        if load.is_idle:
            self._peers.pop(name, None)
        else:
            self._peers[name] = (now_s, load)
        self.history.record(load.sent_parts)

    def note_prompt(self, job: Job, now_s: float) -> None:
        """Note that a prompt is sent there."""
        self.history.record(job.parts)
        if job.input_tokens < LEAST_TOLD_TOKENS:
            return
        if all(len(part.id) <= LONGEST_TOLD_ID for part in job.parts):
            self._sent.append((now_s, job.parts))

    def tell(self, now_s: float) -> PeerLoad:
        """Return the load from this instance, with the prompts that it has sent."""
        while self._sent and now_s - self._sent[0][0] > TOLD_FOR_S:
            self._sent.popleft()
        if not self._sent:
            return self.own(now_s)
        parts = dict.fromkeys(part for _, sent in self._sent for part in sent)
        return attrs.evolve(self.own(now_s), sent_parts=tuple(parts))

    def own(self, now_s: float) -> PeerLoad:
        """Return the load from this instance."""
        self._fade(now_s)
        return PeerLoad(
            self.running,
            self.prefill_tokens,
            self.memory_tokens,
            self._reading_s,
            self._expected_s,
        )

    def total(self, now_s: float) -> PeerLoad:
        """Return the load from all instances of which is known."""
        own = self.own(now_s)
        # Plain sums: a hub asks for this with each request and knows the work of
        # every instance of its region.
        running, prefill, memory = own.running, own.prefill_tokens, own.memory_tokens
        measured_s, expected_s = own.measured_prefill_s, own.expected_prefill_s
        for heard_s, load in self._peers.values():
            if now_s - heard_s < PEER_LOAD_MEMORY_S:
                running += load.running
                prefill += load.prefill_tokens
                memory += load.memory_tokens
                measured_s += load.measured_prefill_s
                expected_s += load.expected_prefill_s
        return PeerLoad(running, prefill, memory, measured_s, expected_s)

    def expect_s(self, job: Job, uncached_tokens: int, total: PeerLoad) -> float:
        """Return the seconds until the first byte if a request is sent now.

        Args:
            job: The request.
            uncached_tokens: Tokens of its prompt that would have to be read.
            total: The load from all instances, as `total` returns it.
        """
        excess = max(0, total.running + 1 - self.slots)
        waiting_s = excess * self._service_s / self.slots
        if self.service.engine is None:
            return waiting_s + self._service_s
        prefill_s = _find_reading_s(total.prefill_tokens + uncached_tokens, total)
        capacity = self.service.engine.cache_tokens * MEMORY_PART
        over = total.memory_tokens + job.memory_tokens - capacity
        memory_s = max(0.0, over / capacity) * self._service_s
        return ENGINE_BASE_S + waiting_s + prefill_s + memory_s

    def stream_s(self, job: Job, now_s: float) -> float:
        """Return the seconds from a request's first event to its last."""
        if self.service.engine is None:
            return 0.0
        return self.pace.expect_s(job.output_tokens, now_s)

    def disturbance_s(self, uncached_tokens: int, total: PeerLoad) -> float:
        """Return the seconds by which a prompt holds up the streams there, added up."""
        if self.service.engine is None:
            return 0.0
        return total.running * _find_reading_s(uncached_tokens, total)

    def penalty_s(self) -> float:
        """Return what its failures are expected to cost."""
        return self._failure_rate * FAILURE_COST_S

    def learn_first_byte(
        self, elapsed_s: float, unread_tokens: int, now_s: float
    ) -> None:
        """Learn the speed of prefill.

        Args:
            elapsed_s: Seconds from sending to the first event.
            unread_tokens: Tokens that stood before that event at the sending.
            now_s: Monotonic seconds.
        """
        if unread_tokens < MIN_SAMPLE_TOKENS:
            return
        self._fade(now_s)
        self._reading_s += max(0.0, elapsed_s - ENGINE_BASE_S)
        self._expected_s += unread_tokens / PREFILL_TOKENS_PER_S

    def learn_service(self, elapsed_s: float) -> None:
        """Learn how long a request holds its slot."""
        self._service_s += LEARNING_WEIGHT * (elapsed_s - self._service_s)

    def succeed(self) -> None:
        """Note an answer."""
        self._failure_rate *= 1 - FAILURE_WEIGHT
        self._block_s = 0.0

    def fail(self, now_s: float, is_gone: bool) -> None:
        """Note a failure; one that is gone is left alone for a while."""
        self._failure_rate += FAILURE_WEIGHT * (1 - self._failure_rate)
        if is_gone:
            self._block_s = min(max(FIRST_BLOCK_S, self._block_s * 2), MAX_BLOCK_S)
            self._blocked_until_s = now_s + self._block_s

    def _fade(self, now_s: float) -> None:
        kept = math.exp(-(now_s - self._faded_s) / LEARNING_MEMORY_S)
        self._faded_s = now_s
        self._reading_s *= kept
        self._expected_s *= kept


def _find_reading_s(tokens: int, total: PeerLoad) -> float:
    return tokens / PREFILL_TOKENS_PER_S * _find_correction(total)


def _find_correction(total: PeerLoad) -> float:
    ratio = (PRIOR_S + total.measured_prefill_s) / (PRIOR_S + total.expected_prefill_s)
    return min(max(ratio, MIN_CORRECTION), MAX_CORRECTION)
