"""The instances of the fleet as this one hears of them."""

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
"""Instances of a region that the others tell their state; two, so that one may
be lost unnoticed."""
ALIVE_FOR = timedelta(seconds=2.5)
"""Silence after which an instance of the own region is not named to callers:
word of it comes through one hub, which lists its members about once a second."""
FAR_ALIVE_FOR = timedelta(seconds=4)
"""The same for other regions, whose word comes through two hubs."""
NAMED_WHILE_LEAVING = timedelta(seconds=3)
"""How long an instance that stops may be named where no other one is left: what
is sent to it then still has some seconds before it ends."""
ALIVE_LIST_S = 0.05
"""Time for which the list of those alive is kept while nothing new is heard."""
COUNTED_FOR = timedelta(seconds=60)
"""Silence for which an instance still counts as one that may be minting, cut
off from here."""


@attrs.frozen
class _RankedHubs:
    """The hubs of one region and what they were chosen from.

    Attributes:
        alive: The other instances.
        own: This instance.
        hubs: The hubs, the first one first.
        ids: Their ids.
    """

    alive: list[RosterEntry]
    own: RosterEntry
    hubs: list[RosterEntry]
    ids: frozenset[str]


class Roster:
    """Instances by id; thread-safe.

    Args:
        clock: The time.
        own: This instance.
        incarnation: Its life.
        peer_address: Where it serves other instances.
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
        self._hubs: dict[str, _RankedHubs] = {}
        self._leaving_s: dict[str, float] = {}
        self._told_counts: dict[str, tuple[float, int]] = {}

    @property
    def own(self) -> EntryInstance:
        """This instance as callers see it."""
        return self._own.instance

    def own_entry(self) -> RosterEntry:
        """Return this instance's entry."""
        return attrs.evolve(self._own, last_seen_s=self._clock.monotonic_s())

    def set_own(self, is_ready: bool, is_leaving: bool) -> None:
        """Note this instance's state."""
        if is_leaving and not self._own.is_leaving:
            self._leaving_s[self._own.id] = self._clock.monotonic_s()
        own = attrs.evolve(self._own, is_ready=is_ready, is_leaving=is_leaving)
        if own != self._own:
            # Replaced by news only, as the hubs are chosen anew then.
            self._own = own

    def note(self, entry: RosterEntry) -> None:
        """Take in what was heard of an instance; earlier word is dropped."""
        if entry.id == self._own.id:
            self._renumber(entry.incarnation)
            return
        with self._lock:
            held = self._entries.get(entry.id)
            if held is not None and _order(held) >= _order(entry):
                return
            self._entries[entry.id] = entry
            if held != entry:
                self._alive = None
            if not entry.is_leaving:
                self._leaving_s.pop(entry.id, None)
            else:
                self._leaving_s.setdefault(entry.id, entry.last_seen_s)
            is_new = held is None or held.incarnation != entry.incarnation
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

    def note_counts(self, counts: dict[str, int]) -> None:
        """Take in how many instances another one counts in each data centre."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for name, count in counts.items():
                held_s, held = self._told_counts.get(name, (0.0, 0))
                if count >= held or now_s - held_s > COUNTED_FOR.total_seconds():
                    self._told_counts[name] = (now_s, count)

    def entries(self) -> list[RosterEntry]:
        """Return the others that were ever heard of."""
        with self._lock:
            return list(self._entries.values())

    def alive(self) -> list[RosterEntry]:
        """Return the others that were heard of late."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            held = self._alive
            if held is None or now_s - held[0] >= ALIVE_LIST_S:
                self._note_silence()
                alive = [i for i in self._entries.values() if self._is_alive(i)]
                held = self._alive = (now_s, alive)
            return held[1]

    def entry_instances(self) -> list[EntryInstance]:
        """Return the instances that callers may use; see `LiveInstances`."""
        return [
            item.instance
            for item in (self._own, *self.alive())
            if item.is_ready and not item.is_leaving
        ]

    def leaving_instances(self) -> list[EntryInstance]:
        """Return those that began to stop only just now; see `LiveInstances`."""
        oldest_s = self._clock.monotonic_s() - NAMED_WHILE_LEAVING.total_seconds()
        return [
            item.instance
            for item in (self._own, *self.alive())
            if item.is_leaving and self._leaving_s.get(item.id, oldest_s) > oldest_s
        ]

    def has_ready_neighbour(self) -> bool:
        """Return whether another instance of this region takes callers."""
        own = self.own
        return any(
            item.region == own.region and item.id != own.id
            for item in self.entry_instances()
        )

    def hubs(self, region: str | None = None) -> list[RosterEntry]:
        """Return the hubs of a region, the first one first.

        The largest instances are chosen, as hubs have the most to do.

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
        held = self._hubs.get(region)
        # Each datagram asks for them several times.
        if held is None or held.alive is not alive or held.own is not own:
            hubs = self._rank_hubs(region, alive)
            ids = frozenset(item.id for item in hubs)
            held = self._hubs[region] = _RankedHubs(alive, own, hubs, ids)
        return held

    def _rank_hubs(self, region: str, alive: list[RosterEntry]) -> list[RosterEntry]:
        members = [item for item in alive if item.instance.region == region]
        if region == self.own.region:
            members.append(self.own_entry())
        staying = [item for item in members if not item.is_leaving] or members
        return sorted(staying, key=_rank)[:HUBS_PER_REGION]

    def token_hub(self) -> RosterEntry | None:
        """Return the hub that mints this instance's part of each rate."""
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
        """Return how many instances there may be, this one included.

        Those that fell silent count on, as they may be cut off and alive. A
        data centre of which nobody was heard counts as the fullest one.
        """
        return self._count(set(self._regions))

    def count_possible_neighbours(self) -> int:
        """Return how many instances there may be in this region; see `count`."""
        own = self.own.region
        return self._count(
            {name for name, held in self._regions.items() if held == own}
        )

    def _count(self, data_centres: set[str]) -> int:
        counts = self.counts()
        fullest = max(counts.values(), default=1)
        return sum(counts.get(name) or fullest for name in data_centres)

    def counts(self) -> dict[str, int]:
        """Return how many instances there may be in each data centre."""
        oldest_s = self._clock.monotonic_s() - COUNTED_FOR.total_seconds()
        counts = {self.own.data_centre: 1}
        with self._lock:
            for item in self._entries.values():
                if item.last_seen_s >= oldest_s:
                    name = item.instance.data_centre
                    counts[name] = counts.get(name, 0) + 1
            for name, (told_s, count) in self._told_counts.items():
                if told_s >= oldest_s:
                    counts[name] = max(count, counts.get(name, 0))
        return counts

    def count_region(self) -> int:
        """Return how many instances of this region were heard of late."""
        region = self.own.region
        return 1 + sum(item.instance.region == region for item in self.alive())

    def _renumber(self, incarnation: int) -> None:
        # Lives are numbered by the wall clock, which may have stepped back
        # since an earlier life began; the others would not hear this one.
        if incarnation > self._own.incarnation:
            self._own = attrs.evolve(self._own, incarnation=incarnation + 1)
            log_event("life_renumbered", life=self._own.incarnation)

    def entry(self, name: str) -> RosterEntry | None:
        """Return what was heard of an instance, or None."""
        with self._lock:
            return self._entries.get(name)

    def _is_alive(self, entry: RosterEntry) -> bool:
        is_near = entry.instance.region == self.own.region
        silence_s = self._clock.monotonic_s() - entry.last_seen_s
        return silence_s <= (ALIVE_FOR if is_near else FAR_ALIVE_FOR).total_seconds()

    def _note_silence(self) -> None:
        for name, item in self._entries.items():
            if name not in self._silent and not self._is_alive(item):
                self._silent.add(name)
                log_event("instance_silent", instance=name)


def _order(entry: RosterEntry) -> tuple[int, float]:
    return entry.incarnation, entry.last_seen_s


def _rank(entry: RosterEntry) -> tuple[float, str]:
    return -entry.instance.size, entry.id
