"""The merged configuration."""

import threading
from collections import deque
from collections.abc import Callable, Iterable

import xxhash

from oriolepaddle.config.conflict import Conflict, ConflictKind
from oriolepaddle.config.digest import EntryIndex, hash_entry
from oriolepaddle.config.entry import Entry
from oriolepaddle.config.floor import NO_FLOOR, Floor
from oriolepaddle.config.live import LiveObjects
from oriolepaddle.config.model import (
    DataCentre,
    Endpoint,
    Key,
    ObjectKind,
    Organisation,
    Placement,
    Route,
)

__all__ = ["MAX_CONFLICTS", "ConfigState"]

MAX_CONFLICTS = 100

Listener = Callable[[tuple[Entry, ...]], None]


class ConfigState:
    """A map from each object to its state at the highest ticket number.

    Merging takes the higher number of each object, and at equal numbers the
    greater document. A floor, adopted with its complete snapshot, replaces
    all that tickets up to its number wrote. Both are commutative, associative
    and idempotent, so entries and snapshots may arrive late, twice and out of
    order, from any source. Thread-safe.
    """

    def __init__(self) -> None:
        # Held over a merge and its listeners, which so see merges in order.
        self._order = threading.RLock()
        self._lock = threading.RLock()
        self._index = EntryIndex()
        self._live = LiveObjects()
        self._listeners: list[Listener] = []
        self._highest_number = 0
        self._floor = NO_FLOOR
        self._conflicts: deque[Conflict] = deque(maxlen=MAX_CONFLICTS)
        self._conflict_count = 0

    @property
    def highest_number(self) -> int:
        """The highest ticket number that any object or the floor carries."""
        return self._highest_number

    @property
    def floor(self) -> Floor:
        """The floor of the greatest snapshot adopted."""
        return self._floor

    @property
    def digest(self) -> int:
        """A 64-bit digest that is equal for equal states."""
        with self._lock:
            floor = f"{self._floor.number}/{self._floor.digest}"
            return self._index.digest ^ xxhash.xxh3_64_intdigest(floor.encode())

    @property
    def conflict_count(self) -> int:
        """How many contradictions were met since the start."""
        return self._conflict_count

    def conflicts(self) -> tuple[Conflict, ...]:
        """Return the last contradictions, at most `MAX_CONFLICTS`."""
        with self._lock:
            return tuple(self._conflicts)

    def add_conflict(self, conflict: Conflict) -> None:
        """Count a contradiction and keep it for operators."""
        with self._lock:
            if conflict in self._conflicts:
                return
            self._conflict_count += 1
            self._conflicts.append(conflict)

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with the entries that each later merge changed.

        An object that a floor deletes is told as a tombstone at its number.
        """
        self._listeners.append(listener)

    def merge(self, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge entries and return those that changed the state."""
        with self._order:
            with self._lock:
                changed = tuple(entry for entry in entries if self._put(entry))
            self._notify(changed)
        return changed

    def adopt(self, floor: Floor, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge a whole state that stands on a floor.

        Args:
            floor: The floor of the state.
            entries: Every entry of the state: the snapshot's, replaced by
                later tickets' where those were merged.

        Returns:
            What changed, with a tombstone for each object that went.
        """
        entries = tuple(entries)
        if floor <= self._floor:
            return self.merge(entries)
        with self._order:
            with self._lock:
                changed = self._rebase(floor, entries)
            self._notify(changed)
        return changed

    def entries(self) -> tuple[Entry, ...]:
        """Return the entry of every object, tombstones included."""
        with self._lock:
            return self._index.entries()

    def entry(self, kind: ObjectKind, object_id: str) -> Entry | None:
        """Return the entry of one object, or None if it was never seen."""
        with self._lock:
            return self._index.get((kind, object_id))

    def copy_index(self) -> tuple[Floor, EntryIndex]:
        """Return the floor and a copy of the entries with their digests."""
        with self._lock:
            return self._floor, self._index.copy()

    def organisation(self, object_id: str) -> Organisation | None:
        """Return a live organisation, or None."""
        return self._live.get(ObjectKind.ORGANISATION, object_id)

    def organisations(self) -> tuple[Organisation, ...]:
        """Return the live organisations."""
        return self._all(ObjectKind.ORGANISATION)

    def key_by_digest(self, digest: str) -> Key | None:
        """Return the live key with a digest, or None."""
        return self._live.key_by_digest(digest)

    def key(self, object_id: str) -> Key | None:
        """Return a live key, or None."""
        return self._live.get(ObjectKind.KEY, object_id)

    def route(self, object_id: str) -> Route | None:
        """Return a live route, or None."""
        return self._live.get(ObjectKind.ROUTE, object_id)

    def routes(self) -> tuple[Route, ...]:
        """Return the live routes."""
        return self._all(ObjectKind.ROUTE)

    def endpoint(self, object_id: str) -> Endpoint | None:
        """Return a live endpoint, or None."""
        return self._live.get(ObjectKind.ENDPOINT, object_id)

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the live endpoints."""
        return self._all(ObjectKind.ENDPOINT)

    def data_centre(self, object_id: str) -> DataCentre | None:
        """Return a live data centre, or None."""
        return self._live.get(ObjectKind.DATA_CENTRE, object_id)

    def data_centres(self) -> tuple[DataCentre, ...]:
        """Return the live data centres."""
        return self._all(ObjectKind.DATA_CENTRE)

    def placements(self) -> tuple[Placement, ...]:
        """Return the live placements."""
        return self._all(ObjectKind.PLACEMENT)

    def _all(self, kind: ObjectKind) -> tuple:
        with self._lock:
            return self._live.all(kind)

    def _notify(self, changed: tuple[Entry, ...]) -> None:
        if not changed:
            return
        for listener in self._listeners:
            listener(changed)

    def _put(self, entry: Entry) -> bool:
        held = self._index.get((entry.kind, entry.id))
        if held is not None:
            self._check_same_number(held, entry)
        if entry.number <= self._floor.number:
            # The snapshot is complete up to its floor, so this entry is in it
            # or was replaced before it.
            return False
        if held is not None and _rank(held) >= _rank(entry):
            return False
        self._store(entry)
        return True

    def _store(self, entry: Entry) -> None:
        self._index.put(entry)
        self._live.put(entry)
        self._highest_number = max(self._highest_number, entry.number)

    def _rebase(self, floor: Floor, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        base = {(entry.kind, entry.id): entry for entry in entries}
        gone = [
            held
            for held in self._index.entries()
            if held.number <= floor.number and (held.kind, held.id) not in base
        ]
        changed = [entry for entry in base.values() if self._put_base(floor, entry)]
        for held in gone:
            self._index.remove((held.kind, held.id))
            if held.is_tombstone:
                continue
            self._live.remove(held.kind, held.id)
            changed.append(Entry(held.kind, held.id, floor.number, None))
        self._floor = floor
        self._highest_number = max(self._highest_number, floor.number)
        return tuple(changed)

    def _put_base(self, floor: Floor, entry: Entry) -> bool:
        held = self._index.get((entry.kind, entry.id))
        if held is None:
            self._store(entry)
            return True
        self._check_same_number(held, entry)
        if held.number > floor.number and _rank(held) >= _rank(entry):
            return False
        if held == entry:
            return False
        if _rank(held) > _rank(entry):
            self.add_conflict(
                Conflict(ConflictKind.BELOW_FLOOR, held.number, _label(held))
            )
        self._store(entry)
        return True

    def _check_same_number(self, held: Entry, entry: Entry) -> None:
        if held.number == entry.number and hash_entry(held) != hash_entry(entry):
            self.add_conflict(
                Conflict(ConflictKind.SAME_NUMBER, held.number, _label(held))
            )


def _label(entry: Entry) -> str:
    return f"{entry.kind.value} {entry.id}"


def _rank(entry: Entry) -> tuple[int, bool, str]:
    # A tombstone wins over a value of the same number, so that a withdrawal
    # holds even when two tickets were given one number.
    return (entry.number, entry.is_tombstone, entry.document)
