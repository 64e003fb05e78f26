"""The load of other regions, as their hubs tell it."""

import random
import threading
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.edge.regions import PeerChoice, Residency, allows_region
from oriolepaddle.gossip.entry import RosterEntry
from oriolepaddle.gossip.roster import Roster

__all__ = ["TYPICAL_PROMPT_TOKENS", "RegionLoads"]

TYPICAL_PROMPT_TOKENS = 2000
"""The prompt for which a wait is announced."""
WAIT_MEMORY = timedelta(seconds=2)
"""Age at which an announced wait counts no longer."""
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
        self._waits: dict[tuple[str, str], tuple[float, float]] = {}
        self._sent: dict[tuple[str, str], list[float]] = {}

    def note_wait(
        self, region: str, service: str, wait_s: float, heard_s: float
    ) -> None:
        """Take in the wait of a region.

        Args:
            region: The region.
            service: The service.
            wait_s: Seconds to the first byte for a typical request.
            heard_s: Monotonic time at which it held.
        """
        with self._lock:
            held = self._waits.get((region, service))
            if held is None or held[0] <= heard_s:
                self._waits[(region, service)] = (heard_s, wait_s)

    def waits(self) -> list[tuple[str, str, float]]:
        """Return region, service and wait in seconds of what is fresh."""
        oldest_s = self._clock.monotonic_s() - WAIT_MEMORY.total_seconds()
        with self._lock:
            return [
                (region, service, wait_s)
                for (region, service), (heard_s, wait_s) in self._waits.items()
                if heard_s >= oldest_s
            ]

    def choose(
        self, service: str, tokens: int, residency: Residency
    ) -> PeerChoice | None:
        """Return an instance of the best region; see `RegionChooser`."""
        own = self._roster.own.region
        ready = self._group_ready()
        best: tuple[float, str] | None = None
        for region, name, wait_s in self.waits():
            if name != service or region == own or region not in ready:
                continue
            if not allows_region(residency, region):
                continue
            wait_s += self._round_trip_s + self._count_sent(region, service)
            if best is None or wait_s < best[0]:
                best = (wait_s, region)
        if best is None:
            return None
        weights = [item.instance.size for item in ready[best[1]]]
        found = self._generator.choices(ready[best[1]], weights)[0]
        return PeerChoice(found.id, best[1], found.peer_address, best[0])

    def _group_ready(self) -> dict[str, list[RosterEntry]]:
        # An instance that is about to end may have to cut a long answer.
        ready: dict[str, list[RosterEntry]] = {}
        for item in self._roster.alive():
            if item.is_ready and not item.is_leaving:
                ready.setdefault(item.instance.region, []).append(item)
        return ready

    def record_sent(self, choice: PeerChoice, service: str, tokens: int) -> None:
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
