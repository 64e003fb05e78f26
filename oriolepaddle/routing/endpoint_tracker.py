"""The measured performance of one endpoint, as tracked by this instance."""

import math

from oriolepaddle.config.model import Endpoint
from oriolepaddle.routing.average import MeasuredAverage
from oriolepaddle.routing.cache_view import CacheView
from oriolepaddle.routing.endpoint_health import EndpointHealth
from oriolepaddle.routing.endpoint_load import EndpointLoad

__all__ = ["EndpointTracker"]

SPEED_WEIGHT = 0.1
TYPICAL_OUTPUT_TOKENS = 150
MIN_PREFILL_SAMPLE_TOKENS = 500
"""Minimum prefill for a speed sample; the time of smaller ones depends more on the
network than on the endpoint."""
BIAS_WEIGHT = 0.2
BIAS_DECAY_S = 5.0
MAX_BIAS_S = 5.0


class EndpointTracker:
    """Health, load, cache and measured speeds of one endpoint.

    Args:
        endpoint: The endpoint as configured; its speeds are the initial estimates.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.health = EndpointHealth()
        self.load = EndpointLoad()
        self.cache = CacheView(endpoint.cache_tokens)
        self.prefill_tokens_per_s = MeasuredAverage(
            endpoint.prefill_tokens_per_s, SPEED_WEIGHT
        )
        self.decode_tokens_per_s = MeasuredAverage(
            endpoint.decode_tokens_per_s, SPEED_WEIGHT
        )
        self.service_s = MeasuredAverage(
            TYPICAL_OUTPUT_TOKENS / endpoint.decode_tokens_per_s, SPEED_WEIGHT
        )
        self.prefilling_tokens = 0.0
        self._bias_s = 0.0
        self._bias_changed_s = 0.0

    def in_flight(self, now_s: float, instances: int) -> float:
        """Return the estimated requests in flight from all instances."""
        return self.load.estimate(now_s, instances, self.service_s.value)

    def queueing_s(self, slots: int, now_s: float, instances: int) -> float:
        """Return the expected queueing time of a request that is sent now."""
        excess = max(0.0, self.in_flight(now_s, instances) + 1 - slots)
        slot_s = excess * self.service_s.value / slots
        prefill_s = self.prefilling_tokens / self.prefill_tokens_per_s.value
        return max(0.0, slot_s + prefill_s + self.bias_s(now_s))

    def bias_s(self, now_s: float) -> float:
        """Return the recent average delay of first tokens beyond the expected time."""
        decay = math.exp(-(now_s - self._bias_changed_s) / BIAS_DECAY_S)
        return self._bias_s * decay

    def record_first_token(
        self, elapsed_s: float, expected_s: float, uncached_tokens: float, now_s: float
    ) -> None:
        """Update the estimates from a first token.

        Args:
            elapsed_s: Seconds from sending the request to its first token.
            expected_s: The expected seconds, without the bias.
            uncached_tokens: Prompt tokens that were not expected in the cache.
            now_s: Monotonic seconds.
        """
        prefill_s = uncached_tokens / self.prefill_tokens_per_s.value
        is_unqueued = expected_s <= prefill_s * 1.01
        if uncached_tokens >= MIN_PREFILL_SAMPLE_TOKENS and is_unqueued:
            self.prefill_tokens_per_s.add(uncached_tokens / max(elapsed_s, 1e-3))
        bias_s = self.bias_s(now_s)
        error_s = min(max(elapsed_s - expected_s, -MAX_BIAS_S), MAX_BIAS_S)
        self._bias_s = bias_s + BIAS_WEIGHT * (error_s - bias_s)
        self._bias_changed_s = now_s

    def record_answer(
        self, output_tokens: int, decode_s: float, service_s: float
    ) -> None:
        """Update the estimates from a complete answer.

        Args:
            output_tokens: Tokens of the answer.
            decode_s: Seconds from its first token to its last.
            service_s: Seconds for which it occupied a slot.
        """
        if output_tokens > 1 and decode_s > 0:
            self.decode_tokens_per_s.add((output_tokens - 1) / decode_s)
        self.service_s.add(max(service_s, 1e-3))

    def record_failure(self, now_s: float) -> None:
        """Record a failure: its cache contents and running requests are lost."""
        self.health.fail(now_s)
        self.cache.clear()
        self.load.clear_reports()
