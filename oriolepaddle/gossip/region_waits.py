"""The waits that regions announce, and their form in datagrams."""

import attrs

from oriolepaddle.gossip.numbers import to_ms, to_seconds
from oriolepaddle.peers.gen_py.gossip.ttypes import RegionWait

__all__ = [
    "TYPICAL_PROMPT_TOKENS",
    "AnnouncedWait",
    "read_wait",
    "write_own_wait",
    "write_wait",
]

TYPICAL_PROMPT_TOKENS = 2000
"""The prompt length for which a region's wait is announced."""
THOUSANDTHS = 1000


@attrs.frozen
class AnnouncedWait:
    """What a region announced of one service.

    Attributes:
        region: The region.
        service: The service.
        wait_s: Seconds to the first byte for a typical request; infinite if the
            region can't run one.
        announced_s: Monotonic time at which the region announced it.
        used_fraction: The part of the region's capacity for the service that is in
            use; 1 if it did not say.
    """

    region: str
    service: str
    wait_s: float
    announced_s: float
    used_fraction: float = 1.0

    @property
    def is_available(self) -> bool:
        """Whether the region can run requests of the service."""
        return self.wait_s < float("inf")


def write_own_wait(
    region: str, service: str, wait_s: float | None, used_fraction: float
) -> RegionWait:
    """Return the record of the own region's wait, which is None if it has none."""
    if wait_s is None:
        # Otherwise the others would send requests here until the last wait that they
        # know of is too old.
        wait_s = float("inf")
    used = round(used_fraction * THOUSANDTHS)
    return RegionWait(region, service, to_ms(wait_s), 0, used)


def write_wait(item: AnnouncedWait, now_s: float) -> RegionWait:
    """Return the record that passes on another region's wait, with its age."""
    return RegionWait(
        item.region,
        item.service,
        to_ms(item.wait_s),
        to_ms(now_s - item.announced_s),
        round(item.used_fraction * THOUSANDTHS),
    )


def read_wait(record: RegionWait, received_s: float) -> AnnouncedWait:
    """Return the wait of a record.

    Args:
        record: The record.
        received_s: Monotonic time at which it was received.
    """
    used = THOUSANDTHS if record.used_thousandths is None else record.used_thousandths
    return AnnouncedWait(
        record.region,
        record.service_name,
        to_seconds(record.wait_ms),
        received_s - to_seconds(record.age_ms or 0),
        min(max(used / THOUSANDTHS, 0.0), 1.0),
    )
