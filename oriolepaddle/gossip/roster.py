"""The instances of the fleet as this one hears them."""

import threading
from datetime import timedelta

import xxhash

from oriolepaddle.clock import Clock
from oriolepaddle.edge.resolver import EntryInstance
from oriolepaddle.gossip.peer import GossipPeer
from oriolepaddle.logs import log_event
from oriolepaddle.peers.gen_py.gossip.ttypes import Announcement

__all__ = ["Roster"]

ALIVE_FOR = timedelta(seconds=1.5)
"""Silence after which an instance is not named to callers: six datagrams."""
COUNTED_FOR = timedelta(seconds=60)
"""Silence for which an instance still counts as one that may be minting, cut
off from here."""


class Roster:
    """Instances by id; thread-safe.

    Args:
        clock: The time.
        own: This instance.
        regions: The region of each data centre.
    """

    def __init__(
        self, clock: Clock, own: EntryInstance, regions: dict[str, str]
    ) -> None:
        self._clock = clock
        self._own = own
        self._regions = regions
        self._lock = threading.Lock()
        self._peers: dict[str, GossipPeer] = {}
        self._silent: set[str] = set()
        self.is_own_ready = False

    @property
    def own(self) -> EntryInstance:
        """This instance."""
        return self._own

    def note(self, heard: Announcement, address: tuple[str, int]) -> bool:
        """Take in an announcement; return whether it is news.

        A datagram that was overtaken, repeated or sent by an earlier life
        counts for nothing.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            peer = self._peers.setdefault(heard.instance, GossipPeer(address))
            held = peer.announcement
            if held is not None and _order(held) >= _order(heard):
                return False
            peer.announcement = heard
            peer.gossip_address = address
            peer.heard_s = now_s
            is_new = held is None or held.incarnation != heard.incarnation
            was_silent = heard.instance in self._silent
            self._silent.discard(heard.instance)
        if is_new or was_silent:
            log_event("instance_heard", instance=heard.instance, life=heard.incarnation)
        return True

    def peers(self) -> dict[str, GossipPeer]:
        """Return the other instances that were ever heard."""
        with self._lock:
            return dict(self._peers)

    def alive(self) -> list[Announcement]:
        """Return the last words of the others that were heard of late."""
        now_s = self._clock.monotonic_s()
        oldest_s = now_s - ALIVE_FOR.total_seconds()
        with self._lock:
            alive = [peer for peer in self._peers.values() if peer.heard_s >= oldest_s]
            self._note_silence(oldest_s)
        return [peer.announcement for peer in alive if peer.announcement]

    def entry_instances(self) -> list[EntryInstance]:
        """Return the instances that callers may use; see `LiveInstances`."""
        found = [self._own] if self.is_own_ready else []
        for heard in self.alive():
            if heard.is_ready and not heard.is_leaving:
                found.append(self.describe(heard))
        return found

    def describe(self, heard: Announcement) -> EntryInstance:
        """Return an instance as callers see it."""
        return EntryInstance(
            id=heard.instance,
            region=self._regions.get(heard.data_centre, heard.data_centre),
            data_centre=heard.data_centre,
            address=heard.caller_address,
            size=heard.size_thousandths / 1000,
        )

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre."""
        return self._regions.get(data_centre, data_centre)

    def find_share(self) -> float:
        """Return this instance's safe part of what all instances share.

        Instances that fell silent count on, as they may be cut off and alive.
        A data centre of which nobody was heard counts as the fullest one.
        """
        return 1 / self.count()

    def count(self) -> int:
        """Return how many instances there may be, this one included."""
        counts = self._count_by_data_centre()
        fullest = max(counts.values(), default=1)
        return sum(counts.get(name) or fullest for name in self._regions)

    def count_region(self) -> int:
        """Return how many instances of this region there may be."""
        counts = self._count_by_data_centre()
        own = self.region_of(self._own.data_centre)
        return max(
            1, sum(n for name, n in counts.items() if self.region_of(name) == own)
        )

    def is_owner(self, name: str) -> bool:
        """Return whether this instance is its region's only one for a task."""
        own_region = self.region_of(self._own.data_centre)
        ids = [self._own.id] + [
            heard.instance
            for heard in self.alive()
            if self.region_of(heard.data_centre) == own_region and not heard.is_leaving
        ]
        return _find_owner(name, ids) == self._own.id

    def _count_by_data_centre(self) -> dict[str, int]:
        oldest_s = self._clock.monotonic_s() - COUNTED_FOR.total_seconds()
        counts = {self._own.data_centre: 1}
        with self._lock:
            for peer in self._peers.values():
                if peer.announcement is None or peer.heard_s < oldest_s:
                    continue
                name = peer.announcement.data_centre
                counts[name] = counts.get(name, 0) + 1
        return counts

    def _note_silence(self, oldest_s: float) -> None:
        for name, peer in self._peers.items():
            if peer.heard_s < oldest_s and name not in self._silent:
                self._silent.add(name)
                log_event("instance_silent", instance=name)


def _order(heard: Announcement) -> tuple[int, int]:
    return heard.incarnation, heard.sent_at_us


def _find_owner(name: str, ids: list[str]) -> str:
    return max(
        ids, key=lambda item: xxhash.xxh3_64_intdigest(f"{name}|{item}".encode())
    )
