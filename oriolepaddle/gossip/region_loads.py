"""The load of other regions, as announced by their hubs."""

import random
import threading
from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.edge.regions import PeerChoice, Residency, allows_region
from oriolepaddle.gossip.entry import RosterEntry
from oriolepaddle.gossip.roster import Roster

__all__ = ["TYPICAL_PROMPT_TOKENS", "AnnouncedWait", "RegionLoads"]

TYPICAL_PROMPT_TOKENS = 2000
"""The prompt length for which a region's wait is announced."""
MAX_WAIT_AGE = timedelta(seconds=2)
"""Age beyond which an announced wait is ignored."""
ANNOUNCEMENT_LAG_S = 0.6
"""Time until a forwarded request shows in the wait that its region announces."""


@attrs.frozen
class AnnouncedWait:
    """What a region announced of one service.

    Attributes:
        region: The region.
        service: The service.
        wait_s: Seconds to the first byte for a typical request; infinite if the
            region can't run one.
        announced_s: Monotonic time at which the region announced it.
    """

    region: str
    service: str
    wait_s: float
    announced_s: float

    @property
    def is_available(self) -> bool:
        """Whether the region can run requests of the service."""
        return self.wait_s < float("inf")


class RegionLoads:
    """Chooses instances of other regions; a `RegionChooser`, thread-safe.

    Args:
        clock: The time.
        roster: The instances.
        round_trip_s: Round-trip time to another region.
        generator: Chooses among a region's instances, weighted by size.
        estimate_added_wait_s: Returns the seconds by which a request of a service,
            with some tokens, prolongs the wait of later ones in a region.
    """

    def __init__(
        self,
        clock: Clock,
        roster: Roster,
        round_trip_s: float,
        generator: random.Random,
        estimate_added_wait_s: Callable[[str, str, int], float],
    ) -> None:
        self._clock = clock
        self._roster = roster
        self._round_trip_s = round_trip_s
        self._generator = generator
        self._estimate_added_wait_s = estimate_added_wait_s
        self._lock = threading.Lock()
        self._waits: dict[tuple[str, str], AnnouncedWait] = {}
        self._forwarded: dict[tuple[str, str], list[tuple[float, int]]] = {}

    def record_wait(
        self, region: str, service: str, wait_s: float, announced_s: float
    ) -> None:
        """Record the announced wait of a region, unless a later one is known.

        Args:
            region: The region.
            service: The service.
            wait_s: Seconds to the first byte for a typical request; infinite if the
                region can't run one.
            announced_s: Monotonic time at which the region announced it. A wait that
                is passed on does not become newer by that.
        """
        with self._lock:
            stored = self._waits.get((region, service))
            if stored is None or stored.announced_s <= announced_s:
                self._waits[(region, service)] = AnnouncedWait(
                    region, service, wait_s, announced_s
                )

    def waits(self) -> list[AnnouncedWait]:
        """Return the recent announcements."""
        oldest_s = self._clock.monotonic_s() - MAX_WAIT_AGE.total_seconds()
        with self._lock:
            return [
                item for item in self._waits.values() if item.announced_s >= oldest_s
            ]

    def choose(
        self, service: str, tokens: int, residency: Residency
    ) -> PeerChoice | None:
        """Return an instance of the best region; see `RegionChooser`."""
        own = self._roster.own.region
        ready = self._group_ready()
        best: tuple[float, str] | None = None
        for item in self.waits():
            region = item.region
            if item.service != service or region == own or region not in ready:
                continue
            if not item.is_available or not allows_region(residency, region):
                continue
            wait_s = item.wait_s + self._round_trip_s
            wait_s += self._estimate_forwarded_wait_s(region, service)
            if best is None or wait_s < best[0]:
                best = (wait_s, region)
        if best is None:
            return None
        weights = [item.instance.size for item in ready[best[1]]]
        chosen = self._generator.choices(ready[best[1]], weights)[0]
        return PeerChoice(chosen.id, best[1], chosen.peer_address, best[0])

    def _group_ready(self) -> dict[str, list[RosterEntry]]:
        # An instance that is leaving may have to cut off a long response.
        ready: dict[str, list[RosterEntry]] = {}
        for item in self._roster.alive():
            if item.is_ready and not item.is_leaving:
                ready.setdefault(item.instance.region, []).append(item)
        return ready

    def record_sent(self, choice: PeerChoice, service: str, tokens: int) -> None:
        """Record a forwarded request; see `RegionChooser`."""
        with self._lock:
            forwarded = self._forwarded.setdefault((choice.region, service), [])
            forwarded.append((self._clock.monotonic_s(), tokens))

    def _estimate_forwarded_wait_s(self, region: str, service: str) -> float:
        """Return the wait that the region has not announced yet."""
        oldest_s = self._clock.monotonic_s() - ANNOUNCEMENT_LAG_S
        with self._lock:
            forwarded = [
                item
                for item in self._forwarded.get((region, service), ())
                if item[0] > oldest_s
            ]
            self._forwarded[(region, service)] = forwarded
        if not forwarded:
            return 0.0
        mean_tokens = sum(tokens for _, tokens in forwarded) // len(forwarded)
        added_s = self._estimate_added_wait_s(region, service, mean_tokens)
        return len(forwarded) * added_s
