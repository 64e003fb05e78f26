"""Circuit breaker for failed endpoints."""

__all__ = ["EndpointHealth"]

MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
PROBE_TIMEOUT_S = 10.0
RAMP_UP_S = 15.0
"""Time from a successful probe until all slots are used again."""


class EndpointHealth:
    """A circuit breaker with a half-open probe and a gradual recovery.

    A failed endpoint gets no requests for a backoff that doubles with each further
    failure, then a single request as a probe. Once that has succeeded, the usable
    slots increase over `RAMP_UP_S`: the cache is cold, and many uncached prompts at
    once would queue behind one another.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._backoff_until_s = 0.0
        self._probe_until_s = 0.0
        self._recovered_s: float | None = None

    @property
    def is_failed(self) -> bool:
        """Whether it has failed and has not succeeded since."""
        return self._failures > 0

    def limit(self, slots: int, now_s: float) -> int:
        """Return the maximum number of this instance's requests at the endpoint."""
        if self._failures:
            is_blocked = now_s < max(self._backoff_until_s, self._probe_until_s)
            return 0 if is_blocked else 1
        if self._recovered_s is None:
            return slots
        fraction = (now_s - self._recovered_s) / RAMP_UP_S
        if fraction >= 1.0:
            self._recovered_s = None
            return slots
        return max(1, int(slots * fraction))

    def start(self, now_s: float) -> None:
        """Record a sent request; to a failed endpoint it is the probe."""
        if self._failures:
            self._probe_until_s = now_s + PROBE_TIMEOUT_S

    def fail(self, now_s: float) -> None:
        """Record a failure; failures during the backoff count as one."""
        if self._failures and now_s < self._backoff_until_s:
            return
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0**self._failures)
        self._failures += 1
        self._backoff_until_s = now_s + backoff_s
        self._probe_until_s = 0.0

    def succeed(self, started_s: float, now_s: float) -> None:
        """Record an answer to a request that was sent at `started_s`."""
        # An answer to a request sent before the end of the backoff does not show that
        # the endpoint has recovered.
        if not self._failures or started_s < self._backoff_until_s:
            return
        self._failures = 0
        self._recovered_s = now_s
