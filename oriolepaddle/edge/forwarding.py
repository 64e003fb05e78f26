"""Whether a request is forwarded to another region.

Handles a region whose own endpoints would be late or cannot run a request, while the
load of other regions is known up to a second late.
"""

from oriolepaddle.edge.regions import PeerChoice
from oriolepaddle.placement import Choice, Job

__all__ = ["should_forward"]

MIN_FORWARD_GAIN_S = 0.1
"""Minimum gain for which a request is forwarded over the link between regions."""
LOCAL_FRACTION_PER_INSTANCE, MAX_LOCAL_FRACTION = 0.03, 0.6
"""A request stays in its region if the first byte is expected there within a fraction
of its longest acceptable wait: this fraction for each instance of the region, up to
the maximum. The reported load of another region is up to a second old, and the more
instances act on it at once, the less accurate it is."""
MAX_LOCAL_FAILURES = 2
"""Endpoints that failed a request before its whole region is treated as unreliable."""


def should_forward(
    choice: Choice | None,
    peer: PeerChoice,
    job: Job,
    instances: int,
    local_failures: int,
) -> bool:
    """Return whether the other region's instance gets the request.

    Args:
        choice: The choice in this region, or None if no endpoint may run it.
        peer: The instance of the other region.
        job: The request.
        instances: The number of instances of this region.
        local_failures: The number of this region's endpoints that failed the request.
    """
    is_region_suspect = local_failures >= MAX_LOCAL_FAILURES
    if choice is None or choice.is_blocked or is_region_suspect:
        return peer.expected_s <= job.max_first_byte_s
    local_fraction = min(MAX_LOCAL_FRACTION, LOCAL_FRACTION_PER_INSTANCE * instances)
    if choice.expected_s <= local_fraction * job.max_first_byte_s:
        return False
    return peer.expected_s + MIN_FORWARD_GAIN_S < choice.expected_s
