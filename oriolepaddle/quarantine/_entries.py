"""The crashes of each fingerprint, merged from all instances.

Merging is monotonic: it takes the maximum of generations and the union of
crashes, and a dismissed crash stays dismissed. Reports may therefore arrive late,
repeatedly and in any order.

Which fingerprint caused a crash is never stored but found anew from the merged
crashes: an instance that knows only some of the reports may blame the wrong one.
"""

from collections.abc import Iterator, Set

import attrs
import xxhash

from oriolepaddle.clock import Clock
from oriolepaddle.crashes.attribution import find_causes
from oriolepaddle.peers.gen_py.quarantine.ttypes import CrashRecord, EntryRecord
from oriolepaddle.quarantine._stored import CrashState, StoredEntry
from oriolepaddle.quarantine._version import Version
from oriolepaddle.quarantine.crash import Crash
from oriolepaddle.quarantine.settings import QuarantineSettings

__all__ = ["EntryTable"]

MAX_CRASHES = 8
MS_PER_S = 1000
MIN_EXPORTED_LIFETIME_S = 5.0
"""Entries that expire sooner are not exported, as two instances would keep
renewing each other's."""


class EntryTable:
    """The entries by fingerprint.

    Not thread-safe: guarded by the quarantine's lock.

    Args:
        clock: The source of time.
        settings: The limits.
        version: Counts the changes.
    """

    def __init__(
        self, clock: Clock, settings: QuarantineSettings, version: Version
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._entries: dict[bytes, StoredEntry] = {}
        self._by_crash: dict[Crash, set[bytes]] = {}
        self._next_expiry_s = float("inf")
        self._version = version
        # Both are found anew when they are next needed after a change.
        self._causes: Set[bytes] | None = None
        self._explained_crashes: Set[Crash] = frozenset()

    def __len__(self) -> int:
        return len(self._entries)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether requests with this fingerprint are refused."""
        self._expire()
        return fingerprint in self._find_causes()

    def find_active(self, fingerprint: bytes) -> list[Crash]:
        """Return the crashes that a fingerprint may have caused.

        Crashes that it is known not to have caused, or that a quarantined
        fingerprint caused, are left out.
        """
        self._expire()
        entry = self._entries.get(fingerprint)
        if entry is None:
            return []
        if fingerprint in self._find_causes():
            return entry.find_undismissed()
        return [
            crash
            for crash in entry.find_undismissed()
            if crash not in self._explained_crashes
        ]

    def _find_causes(self) -> Set[bytes]:
        if self._causes is None:
            undismissed = {
                fingerprint: frozenset(entry.find_undismissed())
                for fingerprint, entry in self._entries.items()
            }
            self._causes = find_causes(undismissed, self._settings.crash_limit)
            self._explained_crashes = frozenset().union(
                *(undismissed[cause] for cause in self._causes)
            )
        return self._causes

    def fingerprints(self) -> Set[bytes]:
        """Return all fingerprints with an entry."""
        return self._entries.keys()

    def iterate(self) -> Iterator[tuple[bytes, StoredEntry]]:
        """Yield each fingerprint with its entry."""
        self._expire()
        yield from sorted(self._entries.items())

    def record(self, fingerprint: bytes, crash: Crash) -> None:
        """Record a crash of a fingerprint that this instance observed."""
        self._expire()
        entry = self._entries.setdefault(fingerprint, StoredEntry())
        while crash in entry.crashes and entry.crashes[crash].is_dismissed:
            crash = attrs.evolve(crash, ordinal=crash.ordinal + 1)
        self._add_crash(fingerprint, entry, crash, self._settings.life.total_seconds())
        self._enforce_limit()

    def dismiss_crashes(self, fingerprint: bytes) -> None:
        """Dismiss the crashes of a fingerprint, unless it is quarantined."""
        if self.is_quarantined(fingerprint):
            return
        entry = self._entries.get(fingerprint)
        for crash in entry.find_undismissed() if entry else ():
            entry.crashes[crash].is_dismissed = True
            self._mark_changed(entry)

    def dismiss_older_crashes(
        self, endpoint: str, incarnation: str, requested_at_s: float
    ) -> None:
        """Dismiss the crashes of an incarnation that still ran later."""
        self._expire()
        for ordinal in range(MAX_CRASHES):
            crash = Crash(endpoint, incarnation, ordinal)
            for fingerprint in self._by_crash.get(crash, ()):
                entry = self._entries[fingerprint]
                state = entry.crashes[crash]
                if state.recorded_at_s < requested_at_s and not state.is_dismissed:
                    state.is_dismissed = True
                    self._mark_changed(entry)

    def clear(self, fingerprint: bytes) -> None:
        """Clear an entry on an operator's request and invalidate earlier reports."""
        self._expire()
        entry = self._entries.setdefault(fingerprint, StoredEntry())
        lifetime_s = self._settings.life.total_seconds()
        self._raise_generation(fingerprint, entry, entry.generation + 1, lifetime_s)
        self._enforce_limit()

    def merge(self, record: EntryRecord) -> None:
        """Merge another instance's entry."""
        self._expire()
        entry = self._entries.get(record.fingerprint) or StoredEntry()
        if record.generation < entry.generation:
            return
        self._entries[record.fingerprint] = entry
        lifetime_s = record.remaining_life_ms / MS_PER_S
        if record.generation > entry.generation:
            self._raise_generation(
                record.fingerprint, entry, record.generation, lifetime_s
            )
        for crash_record in record.crashes:
            self._merge_crash(record.fingerprint, entry, crash_record)
        self._enforce_limit()
        if not entry.crashes and not entry.generation:
            self._entries.pop(record.fingerprint, None)

    def export(self, since: int) -> list[EntryRecord]:
        """Return the entries that changed after version `since`."""
        self._expire()
        now_s = self._clock.monotonic_s()
        return [
            _make_record(fingerprint, entry, now_s)
            for fingerprint, entry in self._entries.items()
            if entry.version > since
            and entry.find_expiry_s() - now_s >= MIN_EXPORTED_LIFETIME_S
        ]

    def digest(self) -> bytes:
        """Return an 8-byte digest of the stored entries."""
        hasher = xxhash.xxh3_64()
        for fingerprint, entry in self.iterate():
            crashes = sorted(
                (crash.endpoint, crash.incarnation, crash.ordinal, state.is_dismissed)
                for crash, state in entry.crashes.items()
            )
            hasher.update(repr((fingerprint, entry.generation, crashes)).encode())
        return hasher.digest()

    def _merge_crash(
        self, fingerprint: bytes, entry: StoredEntry, crash_record: CrashRecord
    ) -> None:
        crash = Crash(
            crash_record.endpoint, crash_record.incarnation, crash_record.ordinal
        )
        state = entry.crashes.get(crash)
        if state is None:
            lifetime_s = crash_record.remaining_life_ms / MS_PER_S
            if not self._add_crash(fingerprint, entry, crash, lifetime_s):
                return
            state = entry.crashes[crash]
        if crash_record.is_acquitted and not state.is_dismissed:
            state.is_dismissed = True
            self._mark_changed(entry)

    def _add_crash(
        self, fingerprint: bytes, entry: StoredEntry, crash: Crash, lifetime_s: float
    ) -> bool:
        if crash in entry.crashes or len(entry.crashes) >= MAX_CRASHES:
            return False
        lifetime_s = min(lifetime_s, self._settings.life.total_seconds())
        if lifetime_s <= 0:
            return False
        now_s = self._clock.monotonic_s()
        entry.crashes[crash] = CrashState(now_s, now_s + lifetime_s)
        self._by_crash.setdefault(crash, set()).add(fingerprint)
        self._next_expiry_s = min(self._next_expiry_s, now_s + lifetime_s)
        self._mark_changed(entry)
        return True

    def _raise_generation(
        self, fingerprint: bytes, entry: StoredEntry, generation: int, lifetime_s: float
    ) -> None:
        self._drop_crashes(fingerprint, entry, list(entry.crashes))
        lifetime_s = min(lifetime_s, self._settings.life.total_seconds())
        entry.generation = generation
        entry.cleared_until_s = self._clock.monotonic_s() + lifetime_s
        self._next_expiry_s = min(self._next_expiry_s, entry.cleared_until_s)
        self._mark_changed(entry)

    def _mark_changed(self, entry: StoredEntry) -> None:
        entry.version = self._version.increase()
        self._causes = None

    def _drop_crashes(
        self, fingerprint: bytes, entry: StoredEntry, crashes: list[Crash]
    ) -> None:
        self._causes = None
        for crash in crashes:
            del entry.crashes[crash]
            accompanying = self._by_crash[crash]
            accompanying.discard(fingerprint)
            if not accompanying:
                del self._by_crash[crash]

    def _enforce_limit(self) -> None:
        """Evict entries over the limit.

        Those with the fewest undismissed crashes are first, then by earliest expiry.
        """
        while len(self._entries) > self._settings.max_entries:
            fingerprint = min(
                self._entries,
                key=lambda each: (
                    len(self._entries[each].find_undismissed()),
                    self._entries[each].find_expiry_s(),
                ),
            )
            entry = self._entries.pop(fingerprint)
            self._drop_crashes(fingerprint, entry, list(entry.crashes))

    def _expire(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_expiry_s:
            return
        for fingerprint, entry in list(self._entries.items()):
            expired = [
                crash
                for crash, state in entry.crashes.items()
                if state.expires_at_s <= now_s
            ]
            self._drop_crashes(fingerprint, entry, expired)
            if not entry.crashes and entry.cleared_until_s <= now_s:
                del self._entries[fingerprint]
        self._next_expiry_s = min(
            (entry.find_next_expiry_s(now_s) for entry in self._entries.values()),
            default=float("inf"),
        )


def _make_record(fingerprint: bytes, entry: StoredEntry, now_s: float) -> EntryRecord:
    return EntryRecord(
        fingerprint=fingerprint,
        generation=entry.generation,
        crashes=[
            CrashRecord(
                endpoint=crash.endpoint,
                incarnation=crash.incarnation,
                ordinal=crash.ordinal,
                is_acquitted=state.is_dismissed,
                remaining_life_ms=int((state.expires_at_s - now_s) * MS_PER_S),
            )
            for crash, state in entry.crashes.items()
        ],
        remaining_life_ms=int((entry.find_expiry_s() - now_s) * MS_PER_S),
    )
