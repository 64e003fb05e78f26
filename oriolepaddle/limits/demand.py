"""How much an organisation asks of one instance."""

import math

__all__ = ["Demand"]

TIME_CONSTANT_S = 10.0


class Demand:
    """Exponentially decaying averages of the tokens asked for."""

    def __init__(self, now_s: float) -> None:
        self.request_tokens = 0.0
        self.last_s: float | None = None
        self.unmet_s: float | None = None
        self._updated_s = now_s
        self._rate_per_s = 0.0

    def note(self, tokens: float, now_s: float, is_met: bool) -> None:
        """Count one request."""
        self._decay(now_s)
        self._rate_per_s += tokens / TIME_CONSTANT_S
        if self.request_tokens == 0.0:
            self.request_tokens = tokens
        self.request_tokens += 0.1 * (tokens - self.request_tokens)
        self.last_s = now_s
        if not is_met:
            self.unmet_s = now_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the tokens asked for each second, of late."""
        self._decay(now_s)
        return self._rate_per_s

    def is_active(self, now_s: float, period_s: float) -> bool:
        """Return whether a request came within the last `period_s`."""
        return self.last_s is not None and now_s - self.last_s < period_s

    def is_short(self, now_s: float, period_s: float) -> bool:
        """Return whether a request was not met within the last `period_s`."""
        return self.unmet_s is not None and now_s - self.unmet_s < period_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s > 0:
            self._rate_per_s *= math.exp(-elapsed_s / TIME_CONSTANT_S)
            self._updated_s = now_s
