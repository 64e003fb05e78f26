"""The pace of one endpoint, estimated from its readings by their age."""

import math
from collections import deque

import attrs

from oriolepaddle.signals.pace_model import PaceModel

__all__ = ["EndpointPace", "PaceEstimate"]

COMPARED_READINGS = 4
"""Earlier readings that a new one is compared with."""
KEPT_READINGS = 24
MIN_RELATIVE_HORIZON = 0.01
PRIOR_READINGS = 60
MAX_MEAN_READINGS = 400
"""Weight of the service's mean in the mean of an endpoint, and readings over which that
is averaged."""
MIN_FACTOR, MAX_FACTOR = 0.2, 8.0
"""Range of the pace factor in use. A false reading changes the expected time by no
more than this."""


@attrs.frozen
class PaceEstimate:
    """The expected pace of an endpoint during work that begins now.

    Attributes:
        factor: Expected ratio of the duration of work to its usual duration.
        reported: The pace factor of the last reading, or None if there was none.
        age_s: Age of the last reading in seconds, or None.
        confidence: The part of the variance that the readings explain, from 0 if they
            are absent or too old to 1.
    """

    factor: float
    reported: float | None = None
    age_s: float | None = None
    confidence: float = 0.0


class EndpointPace:
    """A Kalman filter over the pace readings of one incarnation of an endpoint.

    Between readings the estimate returns to the endpoint's mean, and becomes less
    certain, with the time constant of the model.

    Not thread-safe, except that `estimate` may be called without a lock.

    Args:
        model: The model of its service.
    """

    def __init__(self, model: PaceModel) -> None:
        self._model = model
        # Time, mean, deviation and its variance, of the logarithm: one tuple, so that
        # readers without a lock never see a mixture of two states.
        self._state: tuple[float, float, float, float] | None = None
        self._offset = 0.0
        self._count = 0
        self._last: tuple[float, float] | None = None
        self._readings: deque[tuple[float, float]] = deque(maxlen=COMPARED_READINGS)
        self._estimates: deque[tuple[float, float]] = deque(maxlen=KEPT_READINGS)

    @property
    def last_reading(self) -> tuple[float, float] | None:
        """Monotonic time and pace factor of the newest reading, or None."""
        return self._last

    def record(self, at_s: float, factor: float) -> bool:
        """Record a reading; return False if a newer one is known."""
        last = self.last_reading
        if last is not None and at_s <= last[0]:
            return False
        factor = min(max(factor, MIN_FACTOR), MAX_FACTOR)
        value = math.log(factor)
        model = self._model
        mean = model.mean + self._offset
        self._count = min(self._count + 1, MAX_MEAN_READINGS)
        self._offset += (value - mean) / (self._count + PRIOR_READINGS)
        model.record(at_s, value, self._offset, list(self._readings))
        new_mean = model.mean + self._offset
        _, deviation, variance = self._predict(at_s)
        gain = variance / (variance + model.parameters.noise)
        if self._state is not None:
            # The mean has moved, the pace has not.
            deviation += self._state[1] - new_mean
        deviation += gain * (value - new_mean - deviation)
        variance *= 1 - gain
        self._state = (at_s, new_mean, deviation, variance)
        self._last = (at_s, factor)
        self._readings.append((at_s, value))
        self._estimates.append(
            (at_s, max(MIN_FACTOR, math.exp(new_mean + deviation + variance / 2)))
        )
        return True

    def find_factor(self, now_s: float, horizon_s: float) -> float:
        """Return the expected mean pace factor from now for a time.

        Args:
            now_s: Monotonic seconds.
            horizon_s: Length of the time, in seconds.
        """
        parameters = self._model.parameters
        state = self._state
        if state is None:
            return self.find_service_factor()
        at_s, mean, deviation, variance = state
        constant_s = parameters.time_constant_s
        decay = math.exp((at_s - now_s) / constant_s) if now_s > at_s else 1.0
        relative = horizon_s / constant_s
        remaining = decay * decay
        variance = remaining * variance + (1 - remaining) * parameters.variance
        if relative > MIN_RELATIVE_HORIZON:
            # About the mean of the deviation over the horizon: within 6% of
            # (1 - exp(-x)) / x up to x = 1, and cheaper.
            decay /= 1 + relative / 2
        deviation *= decay
        factor = math.exp(mean + deviation + variance / 2)
        return min(max(MIN_FACTOR, factor), MAX_FACTOR)

    def find_service_factor(self) -> float:
        """Return the mean factor of the service's endpoints."""
        return self._model.factor

    def estimate(self, now_s: float, horizon_s: float) -> PaceEstimate:
        """Return the expected pace with its basis; see `find_factor`."""
        factor = self.find_factor(now_s, horizon_s)
        last = self.last_reading
        if last is None:
            return PaceEstimate(factor)
        _, _, variance = self._predict(now_s)
        confidence = 1 - variance / self._model.parameters.variance
        return PaceEstimate(
            factor, last[1], now_s - last[0], min(max(0.0, confidence), 1.0)
        )

    def find_past_factor(self, started_s: float, now_s: float) -> float:
        """Return the mean pace factor of a time that ends now.

        Args:
            started_s: Monotonic time at which it began.
            now_s: Monotonic time at which it ends.
        """
        duration_s = now_s - started_s
        if duration_s <= 0 or not self._estimates:
            return self.find_factor(now_s, 0.0)
        total = 0.0
        until_s = now_s
        # Each estimate holds from half-way between the previous one and itself.
        entries = list(self._estimates)
        for index in range(len(entries) - 1, -1, -1):
            at_s, factor = entries[index]
            previous_s = entries[index - 1][0] if index else float("-inf")
            from_s = max(started_s, min(until_s, (previous_s + at_s) / 2))
            total += factor * (until_s - from_s)
            until_s = from_s
            if until_s <= started_s:
                break
        return total / duration_s

    def _predict(self, now_s: float) -> tuple[float, float, float]:
        """Return the time, and the deviation and its variance at that time."""
        parameters = self._model.parameters
        if self._state is None:
            return now_s, 0.0, parameters.variance
        at_s, _, deviation, variance = self._state
        decay = math.exp(-max(0.0, now_s - at_s) / parameters.time_constant_s)
        remaining = decay * decay
        variance = remaining * variance + (1 - remaining) * parameters.variance
        return now_s, deviation * decay, variance
