"""Whether a request is forwarded to another region, and to which.

Handles peaks that move between regions: the own endpoints would be late or cannot run
a request, while the load of other regions is known up to a second late and all
instances of a region see the same reports.
"""

import math
import random
from collections.abc import Sequence

import attrs

from oriolepaddle.edge.regions import PeerChoice, RegionChooser, Residency
from oriolepaddle.placement import Choice, Job

__all__ = ["RegionForecast", "choose_forecast", "choose_peer"]

MIN_FORWARD_GAIN_S = 0.1
"""Minimum gain for which a request is forwarded over the link between regions."""
LOCAL_FRACTION_PER_INSTANCE, MAX_LOCAL_FRACTION = 0.03, 0.6
"""A request stays in its region if the first byte is expected there within a fraction
of its longest acceptable wait: this fraction for each instance of the region, up to
the maximum. The reported load of another region is up to a second old, and the more
instances act on it at once, the less accurate it is."""
MAX_LOCAL_FAILURES = 2
"""Endpoints that failed a request before its whole region is treated as unreliable."""


@attrs.frozen
class RegionForecast:
    """What a request would meet in another region when it arrives there.

    Attributes:
        region: The region.
        expected_s: Expected seconds to the first byte, with the round trip.
        spread_s: Standard deviation of that time, from the age of the region's report
            and from how fast its reports have been observed to change.
    """

    region: str
    expected_s: float
    spread_s: float

    def find_share(self, limit_s: float) -> float:
        """Return the part of the requests with a limit that the region should get.

        It is the chance that the first byte is in time. Their own region refuses such
        requests, so each part that is in time elsewhere is a gain; the rest is not
        sent over the link between the regions.

        Args:
            limit_s: The longest acceptable time to the first byte in seconds.
        """
        slack_s = limit_s - self.expected_s
        if not self.spread_s or not math.isfinite(slack_s):
            return float(slack_s >= 0.0)
        return 0.5 * (1 + math.erf(slack_s / (self.spread_s * math.sqrt(2))))


def choose_forecast(
    forecasts: Sequence[RegionForecast], limit_s: float, generator: random.Random
) -> RegionForecast | None:
    """Return the region that gets a request, or None for the part that none gets.

    The region is drawn by the shares, so that not all instances choose the same one.

    Args:
        forecasts: The regions in which the request may be served.
        limit_s: The longest acceptable time to the first byte in seconds.
        generator: Draws the region.
    """
    shares = [item.find_share(limit_s) for item in forecasts]
    if not shares or generator.random() >= max(shares):
        return None
    return generator.choices(forecasts, shares)[0]


def choose_peer(
    regions: RegionChooser,
    choice: Choice | None,
    peer: PeerChoice,
    job: Job,
    residency: Residency,
    instances: int,
    local_failures: int,
) -> PeerChoice | None:
    """Return the instance of another region that gets the request, or None.

    Args:
        regions: Chooses instances of other regions.
        choice: The choice in this region, or None if no endpoint may run the request
            or begin its response within the longest acceptable wait.
        peer: The instance with the earliest expected first byte by the reports.
        job: The request.
        residency: The residency constraints of the request.
        instances: The number of instances of this region.
        local_failures: The number of this region's endpoints that failed the request.
    """
    if choice is None:
        return regions.choose_by_share(
            job.service, job.input_tokens, residency, job.max_first_byte_s
        )
    return (
        peer if should_forward(choice, peer, job, instances, local_failures) else None
    )


def should_forward(
    choice: Choice,
    peer: PeerChoice,
    job: Job,
    instances: int,
    local_failures: int,
) -> bool:
    """Return whether the other region gets a request that this one would serve.

    Args:
        choice: The choice in this region.
        peer: The instance of the other region.
        job: The request.
        instances: The number of instances of this region.
        local_failures: The number of this region's endpoints that failed the request.
    """
    is_region_suspect = local_failures >= MAX_LOCAL_FAILURES
    if choice.is_blocked or is_region_suspect:
        return peer.expected_s <= job.max_first_byte_s
    local_fraction = min(MAX_LOCAL_FRACTION, LOCAL_FRACTION_PER_INSTANCE * instances)
    if choice.expected_s <= local_fraction * job.max_first_byte_s:
        return False
    return peer.expected_s + MIN_FORWARD_GAIN_S < choice.expected_s
