"""Demand of one organisation at one instance."""

import math

__all__ = ["Demand"]

TIME_CONSTANT_S = 10.0


class Demand:
    """Exponential moving averages of the requested tokens."""

    def __init__(self, now_s: float) -> None:
        self.request_tokens = 0.0
        self.last_request_s: float | None = None
        self.last_unmet_s: float | None = None
        self._updated_s = now_s
        self._rate_per_s = 0.0

    def record(self, tokens: float, now_s: float, is_met: bool) -> None:
        """Record one request."""
        self._decay(now_s)
        self._rate_per_s += tokens / TIME_CONSTANT_S
        if self.request_tokens == 0.0:
            self.request_tokens = tokens
        self.request_tokens += 0.1 * (tokens - self.request_tokens)
        self.last_request_s = now_s
        if not is_met:
            self.last_unmet_s = now_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the recent average of requested tokens per second."""
        self._decay(now_s)
        return self._rate_per_s

    def is_active(self, now_s: float, period_s: float) -> bool:
        """Return whether a request arrived within the last `period_s`."""
        return (
            self.last_request_s is not None and now_s - self.last_request_s < period_s
        )

    def has_unmet_request(self, now_s: float, period_s: float) -> bool:
        """Return whether a request lacked tokens within the last `period_s`."""
        return self.last_unmet_s is not None and now_s - self.last_unmet_s < period_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s > 0:
            self._rate_per_s *= math.exp(-elapsed_s / TIME_CONSTANT_S)
            self._updated_s = now_s
