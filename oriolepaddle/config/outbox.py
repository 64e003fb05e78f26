"""Changes that are queued for one peer."""

import attrs

from oriolepaddle.config.entry import Entry
from oriolepaddle.config.model import ObjectKind
from oriolepaddle.config.wire import measure_entry

__all__ = ["Outbox", "PeerSync"]

MAX_OUTBOX_BYTES = 1024 * 1024


@attrs.define
class Outbox:
    """Queued entries by object; a later entry replaces an earlier one.

    Attributes:
        entries: The queued entries.
        size_bytes: Their total size, including that of replaced entries.
        due_at_s: Monotonic seconds at which they are due to be pushed.
    """

    entries: dict[tuple[ObjectKind, str], Entry] = attrs.field(factory=dict)
    size_bytes: int = 0
    due_at_s: float = float("inf")

    def add(self, changed: tuple[Entry, ...], due_at_s: float) -> bool:
        """Add changes and their due time.

        Returns:
            Whether they fit. If not, the outbox is emptied, and the peer gets the
            changes only by a comparison.
        """
        for entry in changed:
            self.entries[entry.kind, entry.id] = entry
            self.size_bytes += measure_entry(entry)
        self.due_at_s = min(self.due_at_s, due_at_s)
        if self.size_bytes > MAX_OUTBOX_BYTES:
            self.clear()
            return False
        return True

    def discard(self, peer_entries: tuple[Entry, ...]) -> None:
        """Remove entries that the peer has already."""
        for entry in peer_entries:
            if self.entries.get((entry.kind, entry.id)) == entry:
                del self.entries[entry.kind, entry.id]
        if not self.entries:
            self.clear()

    def pop_all(self) -> tuple[Entry, ...]:
        """Return the entries and empty the outbox."""
        entries = tuple(self.entries.values())
        self.clear()
        return entries

    def clear(self) -> None:
        """Empty the outbox."""
        self.entries.clear()
        self.size_bytes = 0
        self.due_at_s = float("inf")


@attrs.define
class PeerSync:
    """The state of the replication to one peer, managed by `ConfigSync`.

    Attributes:
        name: The peer's id.
        outbox: Changes to push.
        is_busy: Whether an exchange is in progress.
        attempts: Number of attempted comparisons since the start, including failed
            ones.
        is_compared: Whether a comparison with it was completed while it was caught up.
        is_behind: Whether it reported in the last comparison that it had not caught up.
        compare_at_s: Monotonic seconds before which no new comparison starts.
        needs_comparison: Whether a comparison is needed because changes were not
            pushed or may not have arrived.
        differs_since_s: Monotonic seconds since which its digest has not been a recent
            digest of this instance, or None.
        retry_at_s: Monotonic seconds before which no exchange starts.
        failures: Number of consecutive failed exchanges.
    """

    name: str
    outbox: Outbox = attrs.field(factory=Outbox)
    is_busy: bool = False
    attempts: int = 0
    is_compared: bool = False
    is_behind: bool = False
    compare_at_s: float = 0.0
    needs_comparison: bool = False
    differs_since_s: float | None = None
    retry_at_s: float = 0.0
    failures: int = 0
