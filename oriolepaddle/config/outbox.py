"""Changes that wait to be pushed to one peer."""

import attrs

from oriolepaddle.config.entry import Entry
from oriolepaddle.config.model import ObjectKind
from oriolepaddle.config.wire import measure_entry

__all__ = ["Outbox", "PeerSync"]

MAX_OUTBOX_BYTES = 1024 * 1024


@attrs.define
class Outbox:
    """Entries by object; a later one replaces an earlier one.

    Attributes:
        entries: The entries that wait.
        size_bytes: Their size, replaced ones included.
        due_at_s: Monotonic seconds from which they are pushed.
    """

    entries: dict[tuple[ObjectKind, str], Entry] = attrs.field(factory=dict)
    size_bytes: int = 0
    due_at_s: float = float("inf")

    def add(self, changed: tuple[Entry, ...], due_at_s: float) -> bool:
        """Add changes that are due at a time.

        Returns:
            Whether they fit; if not, the box is emptied and only a comparison
            tells the peer all.
        """
        for entry in changed:
            self.entries[entry.kind, entry.id] = entry
            self.size_bytes += measure_entry(entry)
        self.due_at_s = min(self.due_at_s, due_at_s)
        if self.size_bytes > MAX_OUTBOX_BYTES:
            self.clear()
            return False
        return True

    def discard(self, held: tuple[Entry, ...]) -> None:
        """Remove entries that the peer itself sent."""
        for entry in held:
            if self.entries.get((entry.kind, entry.id)) == entry:
                del self.entries[entry.kind, entry.id]
        if not self.entries:
            self.clear()

    def take(self) -> tuple[Entry, ...]:
        """Return the entries and empty the box."""
        entries = tuple(self.entries.values())
        self.clear()
        return entries

    def clear(self) -> None:
        """Empty the box."""
        self.entries.clear()
        self.size_bytes = 0
        self.due_at_s = float("inf")


@attrs.define
class PeerSync:
    """The state of the spread to one peer; `ConfigSync` guards it.

    Attributes:
        name: The peer's id.
        outbox: Changes to push.
        is_busy: Whether an exchange is under way.
        tries: Comparisons tried since the start, failed ones included.
        is_compared: Whether a comparison with it, caught up, was whole.
        is_behind: Whether it said that it had not caught up itself.
        compare_at_s: Monotonic seconds before which it is not compared again.
        needs_comparison: Whether something was not pushed.
        differs_since_s: Since when its digest was not one of this instance's,
            or None.
        retry_at_s: Monotonic seconds before which nothing is sent.
        failures: Exchanges in a row that failed.
    """

    name: str
    outbox: Outbox = attrs.field(factory=Outbox)
    is_busy: bool = False
    tries: int = 0
    is_compared: bool = False
    is_behind: bool = False
    compare_at_s: float = 0.0
    needs_comparison: bool = False
    differs_since_s: float | None = None
    retry_at_s: float = 0.0
    failures: int = 0
