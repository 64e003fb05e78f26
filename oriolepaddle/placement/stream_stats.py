"""Statistics of the events of streamed answers."""

__all__ = ["EndpointStreamStats", "ServiceStreamStats"]

INITIAL_EVENTS_PER_TOKEN = 0.1
"""Initial estimate of the events per token of the maximum answer length."""
INITIAL_INTERVAL_S = 0.08
"""Initial estimate of the interval between two events."""
EVENTS_PER_TOKEN_WEIGHT = 0.05
SERVICE_INTERVAL_WEIGHT = 0.01
ENDPOINT_INTERVAL_WEIGHT = 0.1
"""Weights of a new sample in the moving averages: the interval of an endpoint averages
over some ten events, that of a service over a hundred."""
MAX_SAMPLE_AGE_S = 1.5
"""Age of the last sample above which the service's average replaces the endpoint's."""


class ServiceStreamStats:
    """Stream statistics over all endpoints of a service.

    Attributes:
        events_per_token: Events of an answer per token of its maximum length.
        interval_s: Average seconds between two events.
    """

    def __init__(self) -> None:
        self.events_per_token = INITIAL_EVENTS_PER_TOKEN
        self.interval_s = INITIAL_INTERVAL_S

    def record_answer(self, events: int, output_tokens: int) -> None:
        """Update the events per token from a complete answer."""
        if output_tokens > 0:
            sample = events / output_tokens
            self.events_per_token += EVENTS_PER_TOKEN_WEIGHT * (
                sample - self.events_per_token
            )

    def record_interval(self, interval_s: float) -> None:
        """Update the average from the interval between two events."""
        self.interval_s += SERVICE_INTERVAL_WEIGHT * (interval_s - self.interval_s)


class EndpointStreamStats:
    """Stream statistics of one endpoint.

    An engine interleaves prefill with the decoding of its streams, so that long prompts
    slow down its streams and make long answers miss their deadline.

    Args:
        service: The statistics of its service.
    """

    def __init__(self, service: ServiceStreamStats) -> None:
        self.service = service
        self._interval_s = INITIAL_INTERVAL_S
        self._sampled_s = float("-inf")

    def record_interval(self, interval_s: float, now_s: float) -> None:
        """Update the average from the interval between two events of one stream.

        Args:
            interval_s: The interval in seconds.
            now_s: Monotonic seconds.
        """
        self._interval_s = self.interval_s(now_s)
        self._interval_s += ENDPOINT_INTERVAL_WEIGHT * (interval_s - self._interval_s)
        self._sampled_s = now_s
        self.service.record_interval(interval_s)

    def interval_s(self, now_s: float) -> float:
        """Return the average seconds between two events."""
        is_fresh = now_s - self._sampled_s <= MAX_SAMPLE_AGE_S
        return self._interval_s if is_fresh else self.service.interval_s

    def estimate_duration_s(self, output_tokens: int, now_s: float) -> float:
        """Return the expected time from the first event of an answer to its last."""
        return output_tokens * self.service.events_per_token * self.interval_s(now_s)
