"""The load of other regions, as their instances tell it."""

import random
import threading

from oriolepaddle.clock import Clock
from oriolepaddle.edge.regions import PeerChoice
from oriolepaddle.gossip.roster import Roster
from oriolepaddle.peers.gen_py.gossip.ttypes import Announcement

__all__ = ["TYPICAL_PROMPT_TOKENS", "RegionLoads"]

TYPICAL_PROMPT_TOKENS = 2000
"""The prompt for which instances announce a wait."""
SENT_MEMORY_S = 0.6
"""Time for which a request sent away is not in what its region announces."""
SENT_COST_S = 0.02
"""Wait that each request sent away adds there until it is announced."""


class RegionLoads:
    """Chooses instances of other regions; a `RegionChooser`, thread-safe.

    Args:
        clock: The time.
        roster: The instances.
        round_trip_s: Seconds to another region and back.
        generator: Spreads requests over a region's instances.
    """

    def __init__(
        self,
        clock: Clock,
        roster: Roster,
        round_trip_s: float,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._roster = roster
        self._round_trip_s = round_trip_s
        self._generator = generator
        self._lock = threading.Lock()
        self._sent: dict[tuple[str, str], list[float]] = {}

    def choose(
        self, service: str, tokens: int, residency: tuple[tuple[str, ...], ...]
    ) -> PeerChoice | None:
        """Return an instance of the best region; see `RegionChooser`."""
        own = self._roster.own.region
        by_region: dict[str, list[tuple[float, Announcement]]] = {}
        for heard in self._roster.alive():
            region = self._roster.region_of(heard.data_centre)
            if region == own or not heard.is_ready or heard.is_leaving:
                continue
            if any(regions and region not in regions for regions in residency):
                continue
            wait_s = _find_wait_s(heard, service)
            if wait_s is not None:
                by_region.setdefault(region, []).append((wait_s, heard))
        best: tuple[float, str] | None = None
        for region, held in by_region.items():
            wait_s = max(item[0] for item in held)
            wait_s += self._round_trip_s + self._count_sent(region, service)
            if best is None or wait_s < best[0]:
                best = (wait_s, region)
        if best is None:
            return None
        _, heard = self._generator.choice(by_region[best[1]])
        return PeerChoice(heard.instance, best[1], heard.peer_address, best[0])

    def note_sent(self, choice: PeerChoice, service: str, tokens: int) -> None:
        """Note a request that is sent away; see `RegionChooser`."""
        with self._lock:
            sent = self._sent.setdefault((choice.region, service), [])
            sent.append(self._clock.monotonic_s())

    def _count_sent(self, region: str, service: str) -> float:
        oldest_s = self._clock.monotonic_s() - SENT_MEMORY_S
        with self._lock:
            sent = [at for at in self._sent.get((region, service), ()) if at > oldest_s]
            self._sent[(region, service)] = sent
        return SENT_COST_S * len(sent)


def _find_wait_s(heard: Announcement, service: str) -> float | None:
    for item in heard.waits or ():
        if item.service_name == service:
            return item.wait_ms / 1000
    return None
