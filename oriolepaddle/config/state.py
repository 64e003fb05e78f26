"""The merged configuration."""

import threading
from collections.abc import Callable, Iterable

from oriolepaddle.config.entry import Entry
from oriolepaddle.config.model import (
    DataCentre,
    Endpoint,
    Key,
    ObjectKind,
    Organisation,
    Placement,
    Route,
)

__all__ = ["ConfigState"]

Listener = Callable[[tuple[Entry, ...]], None]


class ConfigState:
    """A map from each object to its state at the highest ticket number.

    Merging takes the higher number of each object, and at equal numbers the
    greater document. That is commutative, associative and idempotent, so
    entries may arrive late, twice and out of order, from any source.
    """

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._entries: dict[tuple[ObjectKind, str], Entry] = {}
        self._live: dict[ObjectKind, dict[str, object]] = {
            kind: {} for kind in ObjectKind
        }
        self._keys_by_digest: dict[str, Key] = {}
        self._listeners: list[Listener] = []
        self._highest_number = 0

    @property
    def highest_number(self) -> int:
        """The highest ticket number that any object carries."""
        return self._highest_number

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with the entries that each later merge changed."""
        self._listeners.append(listener)

    def merge(self, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge entries and return those that changed the state."""
        with self._lock:
            changed = tuple(entry for entry in entries if self._put(entry))
        if changed:
            for listener in self._listeners:
                listener(changed)
        return changed

    def entries(self) -> tuple[Entry, ...]:
        """Return the entry of every object, tombstones included."""
        with self._lock:
            return tuple(self._entries.values())

    def entry(self, kind: ObjectKind, object_id: str) -> Entry | None:
        """Return the entry of one object, or None if it was never seen."""
        return self._entries.get((kind, object_id))

    def organisation(self, object_id: str) -> Organisation | None:
        """Return a live organisation, or None."""
        return self._live[ObjectKind.ORGANISATION].get(object_id)

    def organisations(self) -> tuple[Organisation, ...]:
        """Return the live organisations."""
        return self._all(ObjectKind.ORGANISATION)

    def key_by_digest(self, digest: str) -> Key | None:
        """Return the live key with a digest, or None."""
        return self._keys_by_digest.get(digest)

    def key(self, object_id: str) -> Key | None:
        """Return a live key, or None."""
        return self._live[ObjectKind.KEY].get(object_id)

    def route(self, object_id: str) -> Route | None:
        """Return a live route, or None."""
        return self._live[ObjectKind.ROUTE].get(object_id)

    def routes(self) -> tuple[Route, ...]:
        """Return the live routes."""
        return self._all(ObjectKind.ROUTE)

    def endpoint(self, object_id: str) -> Endpoint | None:
        """Return a live endpoint, or None."""
        return self._live[ObjectKind.ENDPOINT].get(object_id)

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the live endpoints."""
        return self._all(ObjectKind.ENDPOINT)

    def data_centre(self, object_id: str) -> DataCentre | None:
        """Return a live data centre, or None."""
        return self._live[ObjectKind.DATA_CENTRE].get(object_id)

    def data_centres(self) -> tuple[DataCentre, ...]:
        """Return the live data centres."""
        return self._all(ObjectKind.DATA_CENTRE)

    def placements(self) -> tuple[Placement, ...]:
        """Return the live placements."""
        return self._all(ObjectKind.PLACEMENT)

    def _all(self, kind: ObjectKind) -> tuple:
        with self._lock:
            return tuple(self._live[kind].values())

    def _put(self, entry: Entry) -> bool:
        name = (entry.kind, entry.id)
        held = self._entries.get(name)
        if held is not None and _rank(held) >= _rank(entry):
            return False
        self._entries[name] = entry
        self._highest_number = max(self._highest_number, entry.number)
        self._index(held, entry)
        return True

    def _index(self, held: Entry | None, entry: Entry) -> None:
        if held is not None and isinstance(held.value, Key):
            self._keys_by_digest.pop(held.value.digest, None)
        if entry.value is None:
            self._live[entry.kind].pop(entry.id, None)
            return
        self._live[entry.kind][entry.id] = entry.value
        if isinstance(entry.value, Key):
            self._keys_by_digest[entry.value.digest] = entry.value


def _rank(entry: Entry) -> tuple[int, bool, str]:
    # A tombstone wins over a value of the same number, so that a withdrawal
    # holds even when two tickets were given one number.
    return (entry.number, entry.is_tombstone, entry.document)
