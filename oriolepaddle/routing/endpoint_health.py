"""Whether an endpoint may get requests after it has failed."""

__all__ = ["EndpointHealth"]

MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
PROBE_TIMEOUT_S = 10.0
RAMP_S = 15.0
"""Time from a successful probe until all slots are used again."""


class EndpointHealth:
    """A circuit breaker with a half-open probe and a slow return.

    A failed endpoint gets nothing for a backoff that doubles with each further
    failure, then a single request as a probe. When that has succeeded, the
    slots in use grow over `RAMP_S`: the cache is cold, and a flood of
    uncached prompts would queue behind one another.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._closed_until_s = 0.0
        self._probe_until_s = 0.0
        self._returned_s: float | None = None

    @property
    def is_failed(self) -> bool:
        """Whether it has failed and not succeeded since."""
        return self._failures > 0

    def limit(self, slots: int, now_s: float) -> int:
        """Return how many requests this instance may have at the endpoint."""
        if self._failures:
            is_shut = now_s < max(self._closed_until_s, self._probe_until_s)
            return 0 if is_shut else 1
        if self._returned_s is None:
            return slots
        part = (now_s - self._returned_s) / RAMP_S
        if part >= 1.0:
            self._returned_s = None
            return slots
        return max(1, int(slots * part))

    def start(self, now_s: float) -> None:
        """Note a request; to a failed endpoint it is the probe."""
        if self._failures:
            self._probe_until_s = now_s + PROBE_TIMEOUT_S

    def fail(self, now_s: float) -> None:
        """Note a failure; those of one backoff count once."""
        if self._failures and now_s < self._closed_until_s:
            return
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0**self._failures)
        self._failures += 1
        self._closed_until_s = now_s + backoff_s
        self._probe_until_s = 0.0

    def succeed(self, started_s: float, now_s: float) -> None:
        """Note an answer to a request that was sent at `started_s`."""
        # An answer to a request from before the failure says nothing of now.
        if not self._failures or started_s < self._closed_until_s:
            return
        self._failures = 0
        self._returned_s = now_s
