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
    """The state of each object at the highest ticket number that changed it.

    Of two entries of an object, merging retains the one with the higher number. At
    equal numbers a tombstone wins over a value, and then the greater document wins. A
    floor, adopted with its complete snapshot, replaces the results of all tickets up
    to its number. Both operations are commutative, associative and idempotent, so
    entries and snapshots may arrive late, repeatedly and out of order, from any
    source. Thread-safe.
    """

    def __init__(self) -> None:
        # Held during a merge and the calls of its listeners, so that listeners see
        # merges in order.
        self._merge_lock = threading.RLock()
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
        """The highest ticket number of any object or the floor."""
        return self._highest_number

    @property
    def floor(self) -> Floor:
        """The greatest floor of any adopted snapshot."""
        return self._floor

    @property
    def digest(self) -> int:
        """A 64-bit digest that is equal for equal states."""
        with self._lock:
            floor = f"{self._floor.number}/{self._floor.digest}"
            return self._index.digest ^ xxhash.xxh3_64_intdigest(floor.encode())

    @property
    def conflict_count(self) -> int:
        """How many conflicts were detected since the start."""
        return self._conflict_count

    def conflicts(self) -> tuple[Conflict, ...]:
        """Return the latest conflicts, at most `MAX_CONFLICTS`."""
        with self._lock:
            return tuple(self._conflicts)

    def add_conflict(self, conflict: Conflict) -> None:
        """Count a conflict and store it, unless it is stored already."""
        with self._lock:
            if conflict in self._conflicts:
                return
            self._conflict_count += 1
            self._conflicts.append(conflict)

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with the entries that each later merge changed.

        An object that a floor deletes is reported as a tombstone with the floor's
        number.
        """
        self._listeners.append(listener)

    def merge(self, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge entries and return those that changed the state."""
        with self._merge_lock:
            with self._lock:
                changed = tuple(entry for entry in entries if self._merge_entry(entry))
            self._notify(changed)
        return changed

    def adopt(self, floor: Floor, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge a complete state with its floor.

        Args:
            floor: The floor of the state.
            entries: Every entry of the state: those of the snapshot, or of later
                tickets where these were merged.

        Returns:
            The changed entries, with a tombstone for each deleted object.
        """
        entries = tuple(entries)
        if floor <= self._floor:
            return self.merge(entries)
        with self._merge_lock:
            with self._lock:
                changed = self._apply_floor(floor, entries)
            self._notify(changed)
        return changed

    def entries(self) -> tuple[Entry, ...]:
        """Return the entry of every object, tombstones included."""
        with self._lock:
            return self._index.entries()

    def entry(self, kind: ObjectKind, object_id: str) -> Entry | None:
        """Return the entry of one object, or None if there is none."""
        with self._lock:
            return self._index.get((kind, object_id))

    def copy_index(self) -> tuple[Floor, EntryIndex]:
        """Return the floor and a copy of the index of entries."""
        with self._lock:
            return self._floor, self._index.copy()

    def organisation(self, object_id: str) -> Organisation | None:
        """Return a live organisation, or None."""
        return self._live.get(ObjectKind.ORGANISATION, object_id)

    def organisations(self) -> tuple[Organisation, ...]:
        """Return the live organisations."""
        return self._live_objects(ObjectKind.ORGANISATION)

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
        return self._live_objects(ObjectKind.ROUTE)

    def endpoint(self, object_id: str) -> Endpoint | None:
        """Return a live endpoint, or None."""
        return self._live.get(ObjectKind.ENDPOINT, object_id)

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the live endpoints."""
        return self._live_objects(ObjectKind.ENDPOINT)

    def data_centre(self, object_id: str) -> DataCentre | None:
        """Return a live data centre, or None."""
        return self._live.get(ObjectKind.DATA_CENTRE, object_id)

    def data_centres(self) -> tuple[DataCentre, ...]:
        """Return the live data centres."""
        return self._live_objects(ObjectKind.DATA_CENTRE)

    def placements(self) -> tuple[Placement, ...]:
        """Return the live placements."""
        return self._live_objects(ObjectKind.PLACEMENT)

    def _live_objects(self, kind: ObjectKind) -> tuple:
        with self._lock:
            return self._live.all(kind)

    def _notify(self, changed: tuple[Entry, ...]) -> None:
        if not changed:
            return
        for listener in self._listeners:
            listener(changed)

    def _merge_entry(self, entry: Entry) -> bool:
        current = self._index.get((entry.kind, entry.id))
        if current is not None:
            self._check_same_number(current, entry)
        if entry.number <= self._floor.number:
            # The snapshot is complete up to its floor: it contains this entry or a
            # later one of the object, or the object was deleted.
            return False
        if current is not None and _rank(current) >= _rank(entry):
            return False
        self._store(entry)
        return True

    def _store(self, entry: Entry) -> None:
        self._index.put(entry)
        self._live.put(entry)
        self._highest_number = max(self._highest_number, entry.number)

    def _apply_floor(
        self, floor: Floor, entries: tuple[Entry, ...]
    ) -> tuple[Entry, ...]:
        snapshot = {(entry.kind, entry.id): entry for entry in entries}
        dropped = [
            current
            for current in self._index.entries()
            if current.number <= floor.number
            and (current.kind, current.id) not in snapshot
        ]
        changed = [
            entry
            for entry in snapshot.values()
            if self._merge_snapshot_entry(floor, entry)
        ]
        for current in dropped:
            self._index.remove((current.kind, current.id))
            if current.is_tombstone:
                continue
            self._live.remove(current.kind, current.id)
            changed.append(Entry(current.kind, current.id, floor.number, None))
        self._floor = floor
        self._highest_number = max(self._highest_number, floor.number)
        return tuple(changed)

    def _merge_snapshot_entry(self, floor: Floor, entry: Entry) -> bool:
        current = self._index.get((entry.kind, entry.id))
        if current is None:
            self._store(entry)
            return True
        self._check_same_number(current, entry)
        if current.number > floor.number and _rank(current) >= _rank(entry):
            return False
        if current == entry:
            return False
        if _rank(current) > _rank(entry):
            self.add_conflict(
                Conflict(ConflictKind.BELOW_FLOOR, current.number, _label(current))
            )
        self._store(entry)
        return True

    def _check_same_number(self, current: Entry, entry: Entry) -> None:
        if current.number == entry.number and hash_entry(current) != hash_entry(entry):
            self.add_conflict(
                Conflict(ConflictKind.SAME_NUMBER, current.number, _label(current))
            )


def _label(entry: Entry) -> str:
    return f"{entry.kind.value} {entry.id}"


def _rank(entry: Entry) -> tuple[int, bool, str]:
    # A tombstone wins over a value with the same number, so that a withdrawal takes
    # effect even if two tickets were given the same number.
    return (entry.number, entry.is_tombstone, entry.document)
