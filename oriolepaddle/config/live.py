"""The live configuration objects, indexed for look-ups during requests."""

from oriolepaddle.config.entry import Entry
from oriolepaddle.config.model import ConfigObject, Key, ObjectKind

__all__ = ["LiveObjects"]


class LiveObjects:
    """Live objects by kind and id, and keys by digest.

    Not safe for concurrent writers; `ConfigState` holds its lock during each write.
    """

    def __init__(self) -> None:
        self._objects: dict[ObjectKind, dict[str, ConfigObject]] = {
            kind: {} for kind in ObjectKind
        }
        # Several keys may have the same digest. The one with the smallest id is
        # returned, independently of the order in which they arrived.
        self._keys: dict[str, dict[str, Key]] = {}

    def get(self, kind: ObjectKind, object_id: str) -> ConfigObject | None:
        """Return a live object, or None."""
        return self._objects[kind].get(object_id)

    def all(self, kind: ObjectKind) -> tuple:
        """Return the live objects of a kind."""
        return tuple(self._objects[kind].values())

    def key_by_digest(self, digest: str) -> Key | None:
        """Return the live key with a digest, or None."""
        keys = self._keys.get(digest)
        return min(keys.values(), key=lambda key: key.id) if keys else None

    def put(self, entry: Entry) -> None:
        """Store the object of an entry, replacing any object with its id."""
        self.remove(entry.kind, entry.id)
        if entry.value is None:
            return
        self._objects[entry.kind][entry.id] = entry.value
        if isinstance(entry.value, Key):
            keys = self._keys.get(entry.value.digest, {})
            self._keys[entry.value.digest] = keys | {entry.id: entry.value}

    def remove(self, kind: ObjectKind, object_id: str) -> None:
        """Remove an object, if it is live."""
        value = self._objects[kind].pop(object_id, None)
        if isinstance(value, Key):
            keys = dict(self._keys[value.digest])
            del keys[object_id]
            self._keys[value.digest] = keys
            if not keys:
                del self._keys[value.digest]
