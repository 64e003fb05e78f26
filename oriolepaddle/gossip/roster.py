"""The instances of the fleet that this instance knows from gossip."""

import threading
from datetime import timedelta

import attrs
import xxhash

from oriolepaddle.clock import Clock
from oriolepaddle.edge.resolver import EntryInstance
from oriolepaddle.gossip.entry import RosterEntry
from oriolepaddle.logs import log_event

__all__ = ["HUBS_PER_REGION", "Roster"]

HUBS_PER_REGION = 2
"""Instances of a region to which the others report their state; two, so that one
can fail without an interruption."""
ALIVE_FOR = timedelta(seconds=2.5)
"""Silence after which an instance of this region is no longer listed to callers.
Its state arrives through one hub, which lists its members about once a second."""
REMOTE_ALIVE_FOR = timedelta(seconds=4)
"""The same for other regions, whose state is relayed by two hubs."""
LEAVING_LISTED_FOR = timedelta(seconds=3)
"""How long a leaving instance may be listed where no other is left: a request sent
to it by then still has a few seconds before the instance exits."""
ALIVE_CACHE_S = 0.05
"""Time for which the list of live instances is cached while no entry changes."""
COUNTS_CACHE_S = 0.25
"""Time for which the counts are cached while none grows. Each request and each datagram
of a hub needs them several times."""
COUNT_RETENTION = timedelta(seconds=60)
"""Silence for which an instance is still counted, since it may be partitioned from
here and still be minting."""


@attrs.frozen
class _RankedHubs:
    """The cached hubs of one region, with the inputs of the choice.

    Attributes:
        alive: The other live instances.
        own: This instance.
        hubs: The hubs in order of rank.
        ids: The hubs' ids.
    """

    alive: list[RosterEntry]
    own: RosterEntry
    hubs: list[RosterEntry]
    ids: frozenset[str]


class Roster:
    """The known instances by id. Thread-safe.

    Args:
        clock: The time.
        own: This instance.
        incarnation: Its incarnation.
        peer_address: `host:port` at which it serves other instances.
        regions: The region of each data centre.
    """

    def __init__(
        self,
        clock: Clock,
        own: EntryInstance,
        incarnation: int,
        peer_address: str,
        regions: dict[str, str],
    ) -> None:
        self._clock = clock
        self._own = RosterEntry(own, incarnation, peer_address, False, False, 0.0)
        self._regions = regions
        self._lock = threading.Lock()
        self._entries: dict[str, RosterEntry] = {}
        self._silent: set[str] = set()
        self._alive: tuple[float, list[RosterEntry]] | None = None
        self._hub_cache: dict[str, _RankedHubs] = {}
        self._leaving_s: dict[str, float] = {}
        self._reported_counts: dict[str, tuple[float, int]] = {}
        self._counts: tuple[float, dict[str, int]] | None = None

    @property
    def own(self) -> EntryInstance:
        """This instance as callers see it."""
        return self._own.instance

    def own_entry(self) -> RosterEntry:
        """Return this instance's entry."""
        return attrs.evolve(self._own, last_seen_s=self._clock.monotonic_s())

    def set_own(self, is_ready: bool, is_leaving: bool) -> None:
        """Set this instance's state."""
        if is_leaving and not self._own.is_leaving:
            self._leaving_s[self._own.id] = self._clock.monotonic_s()
        own = attrs.evolve(self._own, is_ready=is_ready, is_leaving=is_leaving)
        if own != self._own:
            # Replaced only on a change, since a new object makes the hubs be rechosen.
            self._own = own

    def record_entry(self, entry: RosterEntry) -> None:
        """Record an instance's state unless a later one is stored."""
        if entry.id == self._own.id:
            self._raise_incarnation(entry.incarnation)
            return
        with self._lock:
            stored = self._entries.get(entry.id)
            if stored is not None and _recency(stored) >= _recency(entry):
                return
            self._entries[entry.id] = entry
            if stored != entry:
                self._alive = None
            oldest_s = self._clock.monotonic_s() - COUNT_RETENTION.total_seconds()
            if stored is None or stored.last_seen_s < oldest_s:
                self._counts = None
            if not entry.is_leaving:
                self._leaving_s.pop(entry.id, None)
            else:
                self._leaving_s.setdefault(entry.id, entry.last_seen_s)
            is_new = stored is None or stored.incarnation != entry.incarnation
            is_alive = self._is_alive(entry)
            was_silent = is_alive and entry.id in self._silent
            if was_silent:
                self._silent.discard(entry.id)
                self._alive = None
        if is_new or was_silent:
            log_event(
                "instance_heard",
                instance=entry.id,
                life=entry.incarnation,
                data_centre=entry.instance.data_centre,
                age_s=round(self._clock.monotonic_s() - entry.last_seen_s, 3),
            )

    def record_counts(self, counts: dict[str, int]) -> None:
        """Record the instance counts by data centre that another instance reports."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for name, count in counts.items():
                stored_s, stored_count = self._reported_counts.get(name, (0.0, 0))
                has_expired = now_s - stored_s > COUNT_RETENTION.total_seconds()
                if count >= stored_count or has_expired:
                    self._reported_counts[name] = (now_s, count)
                if count > stored_count or has_expired:
                    self._counts = None

    def entries(self) -> list[RosterEntry]:
        """Return all other instances ever seen."""
        with self._lock:
            return list(self._entries.values())

    def alive(self) -> list[RosterEntry]:
        """Return the other instances that were seen recently."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            cached = self._alive
            if cached is None or now_s - cached[0] >= ALIVE_CACHE_S:
                self._record_silence()
                alive = [i for i in self._entries.values() if self._is_alive(i)]
                cached = self._alive = (now_s, alive)
            return cached[1]

    def entry_instances(self) -> list[EntryInstance]:
        """Return the instances that callers may use; see `LiveInstances`."""
        return [
            item.instance
            for item in (self._own, *self.alive())
            if item.is_ready and not item.is_leaving
        ]

    def leaving_instances(self) -> list[EntryInstance]:
        """Return the instances that began to leave recently; see `LiveInstances`."""
        oldest_s = self._clock.monotonic_s() - LEAVING_LISTED_FOR.total_seconds()
        return [
            item.instance
            for item in (self._own, *self.alive())
            if item.is_leaving and self._leaving_s.get(item.id, oldest_s) > oldest_s
        ]

    def has_ready_neighbour(self) -> bool:
        """Return whether another instance of this region accepts requests."""
        own = self.own
        return any(
            item.region == own.region and item.id != own.id
            for item in self.entry_instances()
        )

    def hubs(self, region: str | None = None) -> list[RosterEntry]:
        """Return the hubs of a region in order of rank.

        The largest instances are chosen, since hubs have the most work.

        Args:
            region: The region; None for this instance's own.
        """
        return self._ranked_hubs(region).hubs

    def hub_ids(self, region: str | None = None) -> frozenset[str]:
        """Return the ids of the hubs of a region; see `hubs`."""
        return self._ranked_hubs(region).ids

    def _ranked_hubs(self, region: str | None) -> _RankedHubs:
        region = region or self.own.region
        alive, own = self.alive(), self._own
        cached = self._hub_cache.get(region)
        # Cached because each datagram needs them several times.
        if cached is None or cached.alive is not alive or cached.own is not own:
            hubs = self._rank_hubs(region, alive)
            ids = frozenset(item.id for item in hubs)
            cached = self._hub_cache[region] = _RankedHubs(alive, own, hubs, ids)
        return cached

    def _rank_hubs(self, region: str, alive: list[RosterEntry]) -> list[RosterEntry]:
        members = [item for item in alive if item.instance.region == region]
        if region == self.own.region:
            members.append(self.own_entry())
        staying = [item for item in members if not item.is_leaving] or members
        return sorted(staying, key=_hub_sort_key)[:HUBS_PER_REGION]

    def token_hub(self) -> RosterEntry | None:
        """Return the hub that mints this instance's share of each rate."""
        hubs = self.hubs()
        if not hubs:
            return None
        own = self._own.id
        for hub in hubs:
            if hub.id == own:
                return hub
        return hubs[xxhash.xxh3_64_intdigest(own.encode()) % len(hubs)]

    def is_hub(self) -> bool:
        """Return whether this instance is a hub of its region."""
        return self._own.id in self.hub_ids()

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre."""
        return self._regions.get(data_centre, data_centre)

    def regions(self) -> set[str]:
        """Return all regions."""
        return set(self._regions.values())

    def count(self) -> int:
        """Return how many instances may be running, this one included.

        Silent instances are still counted for a while, since they may be alive
        behind a network partition. A data centre without any known instance is
        assumed to be as large as the largest one.
        """
        return self._count(set(self._regions))

    def count_possible_neighbours(self) -> int:
        """Return how many instances may be running in this region; see `count`."""
        own = self.own.region
        return self._count(
            {name for name, region in self._regions.items() if region == own}
        )

    def _count(self, data_centres: set[str]) -> int:
        counts = self.counts()
        largest = max(counts.values(), default=1)
        return sum(counts.get(name) or largest for name in data_centres)

    def counts(self) -> dict[str, int]:
        """Return how many instances may be running in each data centre."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            cached = self._counts
            # Only a decrease waits for the cache, as it would raise shares of rates.
            if cached is None or now_s - cached[0] >= COUNTS_CACHE_S:
                cached = self._counts = (now_s, self._count_entries(now_s))
            return cached[1]

    def _count_entries(self, now_s: float) -> dict[str, int]:
        oldest_s = now_s - COUNT_RETENTION.total_seconds()
        counts = {self.own.data_centre: 1}
        for item in self._entries.values():
            if item.last_seen_s >= oldest_s:
                name = item.instance.data_centre
                counts[name] = counts.get(name, 0) + 1
        for name, (reported_s, count) in self._reported_counts.items():
            if reported_s >= oldest_s:
                counts[name] = max(count, counts.get(name, 0))
        return counts

    def count_region(self) -> int:
        """Return how many instances of this region were seen recently."""
        region = self.own.region
        return 1 + sum(item.instance.region == region for item in self.alive())

    def _raise_incarnation(self, incarnation: int) -> None:
        # Incarnations are numbered by the wall clock, which may have stepped back
        # since an earlier one began; the others would then ignore this one.
        if incarnation > self._own.incarnation:
            self._own = attrs.evolve(self._own, incarnation=incarnation + 1)
            log_event("life_renumbered", life=self._own.incarnation)

    def entry(self, name: str) -> RosterEntry | None:
        """Return the entry of another instance, or None."""
        with self._lock:
            return self._entries.get(name)

    def _is_alive(self, entry: RosterEntry) -> bool:
        is_local = entry.instance.region == self.own.region
        age_s = self._clock.monotonic_s() - entry.last_seen_s
        return age_s <= (ALIVE_FOR if is_local else REMOTE_ALIVE_FOR).total_seconds()

    def _record_silence(self) -> None:
        for name, item in self._entries.items():
            if name not in self._silent and not self._is_alive(item):
                self._silent.add(name)
                log_event("instance_silent", instance=name)


def _recency(entry: RosterEntry) -> tuple[int, float]:
    return entry.incarnation, entry.last_seen_s


def _hub_sort_key(entry: RosterEntry) -> tuple[float, str]:
    return -entry.instance.size, entry.id
