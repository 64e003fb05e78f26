"""Paces of simulated endpoints that share their machines with other workloads."""

import math
import random
from collections.abc import Callable

import attrs

from experiments.simulation import EventLoop

__all__ = ["FALSE_PACE", "PaceParameters", "VaryingPace", "start_slowdowns"]

STEP_S = 0.02
"""Interval between two changes of a pace."""
MIN_FACTOR = 0.4
FALSE_PACE = 4.0
"""Factor on the readings of an endpoint that reports false values."""


@attrs.frozen
class PaceParameters:
    """How the endpoints' pace varies and is reported.

    Attributes:
        deviation: Standard deviation of the pace factor of each endpoint.
        time_constant_s: Time constant of these deviations, in seconds.
        reading_noise: Standard deviation of the noise of a reading, as a fraction.
        slow_factor: Factor on the pace of the endpoint that is slowed down.
        slow_s: Seconds for which one endpoint is slowed down before the next one is.
        has_false_reports: Whether the first endpoint reports false values.
    """

    deviation: float = 0.15
    time_constant_s: float = 0.15
    reading_noise: float = 0.1
    slow_factor: float = 2.5
    slow_s: float = 0.6
    has_false_reports: bool = False


class VaryingPace:
    """The pace of one endpoint, which changes in steps.

    Args:
        loop: The event loop.
        generator: The source of randomness.
        parameters: How it varies.
        is_false: Whether its readings are false.
    """

    def __init__(
        self,
        loop: EventLoop,
        generator: random.Random,
        parameters: PaceParameters,
        is_false: bool = False,
    ) -> None:
        self._loop = loop
        self._generator = generator
        self._parameters = parameters
        self._is_false = is_false
        self._deviation = 0.0
        self.slowdown = 1.0
        self.on_change: Callable[[], None] = lambda: None
        loop.schedule(STEP_S * generator.random(), self._step)

    @property
    def factor(self) -> float:
        """The ratio of the duration of work to its usual duration."""
        return max(MIN_FACTOR, 1.0 + self._deviation) * self.slowdown

    def read(self) -> float:
        """Return the pace in percent as the endpoint reports it."""
        noise = self._generator.gauss(1.0, self._parameters.reading_noise)
        false_factor = FALSE_PACE if self._is_false else 1.0
        return max(1.0, 100.0 * self.factor * noise * false_factor)

    def _step(self) -> None:
        parameters = self._parameters
        keep = math.exp(-STEP_S / parameters.time_constant_s)
        spread = parameters.deviation * math.sqrt(1 - keep * keep)
        self._deviation = keep * self._deviation + self._generator.gauss(0, spread)
        self.on_change()
        self._loop.schedule(STEP_S, self._step)


def start_slowdowns(
    loop: EventLoop,
    generator: random.Random,
    paces: list[VaryingPace],
    parameters: PaceParameters,
) -> None:
    """Slow down one endpoint at a time, chosen at random."""

    def _move() -> None:
        for pace in paces:
            pace.slowdown = 1.0
        generator.choice(paces).slowdown = parameters.slow_factor
        for pace in paces:
            pace.on_change()
        loop.schedule(parameters.slow_s, _move)

    _move()
