"""A request that runs at an endpoint."""

import threading

from oriolepaddle.clock import Clock
from oriolepaddle.routing.endpoint_tracker import EndpointTracker

__all__ = ["RequestHandle"]


class RequestHandle:
    """Records the progress of one request in its endpoint's tracker.

    Args:
        clock: The clock.
        lock: The router's lock.
        tracker: The endpoint's tracker.
        expected_s: Expected seconds until the first token, without the bias.
        uncached_tokens: Prompt tokens that were not expected in the cache.
    """

    def __init__(
        self,
        clock: Clock,
        lock: threading.RLock,
        tracker: EndpointTracker,
        expected_s: float,
        uncached_tokens: float,
    ) -> None:
        self._clock = clock
        self._lock = lock
        self._tracker = tracker
        self._expected_s = expected_s
        self._uncached_tokens = uncached_tokens
        self._started_s = clock.monotonic_s()
        self._first_token_s: float | None = None
        self._is_finished = False
        tracker.health.start(self._started_s)
        tracker.load.start(self._started_s)
        tracker.prefilling_tokens += uncached_tokens

    def record_first_token(self) -> None:
        """Record the answer's first token; later calls do nothing."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if self._first_token_s is not None or self._is_finished:
                return
            self._first_token_s = now_s
            self._tracker.prefilling_tokens -= self._uncached_tokens
            self._tracker.health.succeed(self._started_s, now_s)
            self._tracker.record_first_token(
                now_s - self._started_s, self._expected_s, self._uncached_tokens, now_s
            )

    def finish(self, output_tokens: int, failed: bool) -> None:
        """Record the end of the answer; later calls do nothing.

        Args:
            output_tokens: Tokens of the answer.
            failed: Whether it ended before it was complete.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if self._is_finished:
                return
            self._is_finished = True
            self._tracker.load.finish(now_s)
            if self._first_token_s is None:
                self._tracker.prefilling_tokens -= self._uncached_tokens
            if failed:
                return
            self._tracker.health.succeed(self._started_s, now_s)
            if self._first_token_s is not None:
                self._learn(output_tokens, now_s)

    def _learn(self, output_tokens: int, now_s: float) -> None:
        decode_s = now_s - self._first_token_s
        speed = self._tracker.prefill_tokens_per_s.value
        service_s = decode_s + self._uncached_tokens / speed
        self._tracker.record_answer(output_tokens, decode_s, service_s)
