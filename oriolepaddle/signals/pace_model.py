"""How the reported pace of a service's endpoints changes with time."""

import math

import attrs

__all__ = ["PaceModel", "PaceParameters"]

LAG_BOUNDS_S = (0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.3, 2.6, 5.2)
"""Upper bounds of the classes of time between two readings of one endpoint."""
TIME_CONSTANTS_S = (0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.3, 2.6, 5.2, 10.0)
"""Candidates for the time constant with which a deviation from the mean vanishes."""
PRIOR_TIME_CONSTANT_S = 0.32
PRIOR_NOISE_FRACTION = 0.2
PRIOR_VARIANCE = 0.04
"""Parameters in use until enough readings are known: endpoints change their pace
several times a second, by a fifth."""
MIN_FIT_READINGS = 24
FIT_INTERVAL_READINGS = 32
"""Readings between two fits, which take about 50 us each."""
SAMPLE_WEIGHT = 1 / 2000
"""Smallest weight of a sample in the moving averages."""
MIN_VARIANCE = 1e-4


@attrs.frozen
class PaceParameters:
    """The parameters by which a reading is weighted.

    The logarithm of a pace factor is modelled as the endpoint's mean, a deviation that
    vanishes exponentially while others arise, and noise that differs in each reading.
    An endpoint whose readings are all too large by one factor then has the same
    deviations as the others.

    Attributes:
        variance: Variance of the deviation.
        noise: Variance of the noise of one reading.
        time_constant_s: Time constant of the deviation, in seconds.
    """

    variance: float = (1 - PRIOR_NOISE_FRACTION) * PRIOR_VARIANCE
    noise: float = PRIOR_NOISE_FRACTION * PRIOR_VARIANCE
    time_constant_s: float = PRIOR_TIME_CONSTANT_S


class PaceModel:
    """Learns the parameters from the differences between readings of one endpoint.

    Half the mean squared difference of two readings is the noise for a short time
    between them and grows to the whole variance with the time constant.

    Not thread-safe. The attributes may be read without a lock.

    Attributes:
        mean: Mean logarithm of the pace factor.
        factor: Mean pace factor.
        parameters: The parameters as of the last fit.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        self.factor = 1.0
        self.parameters = PaceParameters()
        self._count = 0
        self._variance = PRIOR_VARIANCE
        classes = len(LAG_BOUNDS_S)
        self._lags_s = [0.0] * classes
        self._half_squares = [0.0] * classes
        self._counts = [0] * classes

    def record(
        self,
        at_s: float,
        value: float,
        offset: float,
        earlier: list[tuple[float, float]],
    ) -> None:
        """Record a reading.

        Args:
            at_s: Monotonic time of the reading.
            value: The logarithm of its pace factor.
            offset: Difference of the endpoint's mean to that of the service.
            earlier: Times and values of earlier readings of the same endpoint.
        """
        self._count += 1
        weight = max(SAMPLE_WEIGHT, 1 / (self._count + 1))
        difference = value - offset - self.mean
        self.mean += weight * difference
        self.factor = math.exp(self.mean + self.parameters.variance / 2)
        self._variance += weight * (difference * difference - self._variance)
        for earlier_s, earlier_value in earlier:
            lag_s = at_s - earlier_s
            if lag_s > LAG_BOUNDS_S[-1]:
                continue
            self._record_difference(lag_s, value - earlier_value)
        if self._count % FIT_INTERVAL_READINGS == MIN_FIT_READINGS:
            self._fit()

    def _record_difference(self, lag_s: float, difference: float) -> None:
        index = next(i for i, bound in enumerate(LAG_BOUNDS_S) if lag_s <= bound)
        self._counts[index] += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._counts[index])
        self._lags_s[index] += weight * (lag_s - self._lags_s[index])
        half_square = difference * difference / 2
        self._half_squares[index] += weight * (half_square - self._half_squares[index])

    def _fit(self) -> None:
        total = max(MIN_VARIANCE, self._variance)
        samples = [
            (lag_s, total - half_square, min(count, 1 / SAMPLE_WEIGHT))
            for lag_s, half_square, count in zip(
                self._lags_s, self._half_squares, self._counts, strict=True
            )
            if count
        ]
        # A prior of a few samples decides where the readings are too far apart.
        prior_covariance = (1 - PRIOR_NOISE_FRACTION) * total
        samples.append((0.0, prior_covariance, 4))
        samples.append((PRIOR_TIME_CONSTANT_S, prior_covariance / math.e, 4))
        _, variance, time_constant_s = min(
            _fit_covariances(samples, constant_s, total)
            for constant_s in TIME_CONSTANTS_S
        )
        self.parameters = PaceParameters(
            max(MIN_VARIANCE, variance),
            max(MIN_VARIANCE, total - variance),
            time_constant_s,
        )


def _fit_covariances(
    samples: list[tuple[float, float, float]], time_constant_s: float, total: float
) -> tuple[float, float, float]:
    """Return the squared error, the variance at lag 0 and the time constant."""
    shapes = [math.exp(-lag_s / time_constant_s) for lag_s, _, _ in samples]
    pairs = list(zip(samples, shapes, strict=True))
    scale = sum(count * shape * shape for (_, _, count), shape in pairs)
    product = sum(count * covariance * shape for (_, covariance, count), shape in pairs)
    variance = min(max(0.0, product / scale), total)
    error = sum(
        count * (covariance - variance * shape) ** 2
        for (_, covariance, count), shape in pairs
    )
    return error, variance, time_constant_s
