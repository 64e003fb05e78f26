"""The crashes held against fingerprints, merged from all instances.

Each field of the state only grows under a merge: generations by maximum, the
set of crashes by union and each crash from held to acquitted. So reports may
come late, twice and in any order.
"""

from collections.abc import Iterator, Set

import attrs
import xxhash

from oriolepaddle.clock import Clock
from oriolepaddle.peers.gen_py.quarantine.ttypes import CrashRecord, EntryRecord
from oriolepaddle.quarantine._stored import HeldCrash, HeldEntry
from oriolepaddle.quarantine._version import Version
from oriolepaddle.quarantine.crash import Crash
from oriolepaddle.quarantine.settings import QuarantineSettings

__all__ = ["EntryTable"]

MAX_CRASHES = 8
MS_PER_S = 1000
MIN_SPREAD_LIFE_S = 5.0
"""Shorter lives are not spread: two instances would renew each other's."""


class EntryTable:
    """The entries by fingerprint. Not thread-safe: the quarantine locks.

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
        self._entries: dict[bytes, HeldEntry] = {}
        self._by_crash: dict[Crash, set[bytes]] = {}
        self._next_expiry_s = float("inf")
        self._version = version

    def __len__(self) -> int:
        return len(self._entries)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether requests with this fingerprint are refused.

        One that another fingerprint accompanied at each of its crashes is not:
        either may be the culprit, and only the next run of one can tell.
        """
        active = set(self.find_active(fingerprint))
        if len(active) < self._settings.crash_limit:
            return False
        return not any(
            active <= set(self.find_active(other))
            for other in self._by_crash[next(iter(active))]
            if other != fingerprint
        )

    def find_active(self, fingerprint: bytes) -> list[Crash]:
        """Return the crashes that are held against a fingerprint."""
        self._expire()
        entry = self._entries.get(fingerprint)
        return entry.find_active() if entry else []

    def fingerprints(self) -> Set[bytes]:
        """Return all fingerprints with an entry."""
        return self._entries.keys()

    def iterate(self) -> Iterator[tuple[bytes, HeldEntry]]:
        """Yield each fingerprint with its entry."""
        self._expire()
        yield from sorted(self._entries.items())

    def record(self, fingerprint: bytes, crash: Crash) -> None:
        """Hold a crash that this instance saw against a fingerprint."""
        self._expire()
        entry = self._entries.setdefault(fingerprint, HeldEntry())
        while crash in entry.crashes and entry.crashes[crash].is_acquitted:
            crash = attrs.evolve(crash, ordinal=crash.ordinal + 1)
        if self._hold(fingerprint, entry, crash, self._settings.life.total_seconds()):
            self._settle(fingerprint, entry)

    def acquit(self, fingerprint: bytes) -> None:
        """Drop what is held against a fingerprint, unless it is quarantined."""
        if self.is_quarantined(fingerprint):
            return
        entry = self._entries.get(fingerprint)
        for crash in self.find_active(fingerprint):
            entry.crashes[crash].is_acquitted = True
            self._touch(entry)

    def refute(self, endpoint: str, incarnation: str, requested_at_s: float) -> None:
        """Acquit all of the crashes of a life that still went on later."""
        self._expire()
        for ordinal in range(MAX_CRASHES):
            crash = Crash(endpoint, incarnation, ordinal)
            for fingerprint in self._by_crash.get(crash, ()):
                entry = self._entries[fingerprint]
                held = entry.crashes[crash]
                if held.learnt_at_s < requested_at_s and not held.is_acquitted:
                    held.is_acquitted = True
                    self._touch(entry)

    def clear(self, fingerprint: bytes) -> None:
        """Drop an entry by an operator's order; reports from before are void."""
        self._expire()
        entry = self._entries.setdefault(fingerprint, HeldEntry())
        life_s = self._settings.life.total_seconds()
        self._raise_generation(fingerprint, entry, entry.generation + 1, life_s)
        self._bound()

    def merge(self, record: EntryRecord) -> None:
        """Take in another instance's entry."""
        self._expire()
        entry = self._entries.get(record.fingerprint) or HeldEntry()
        if record.generation < entry.generation:
            return
        self._entries[record.fingerprint] = entry
        life_s = record.remaining_life_ms / MS_PER_S
        if record.generation > entry.generation:
            self._raise_generation(record.fingerprint, entry, record.generation, life_s)
        for told in record.crashes:
            self._merge_crash(record.fingerprint, entry, told)
        self._settle(record.fingerprint, entry)
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
            and entry.find_expiry_s() - now_s >= MIN_SPREAD_LIFE_S
        ]

    def digest(self) -> bytes:
        """Return 8 bytes that are equal for tables that hold the same."""
        hasher = xxhash.xxh3_64()
        for fingerprint, entry in self.iterate():
            crashes = sorted(
                (crash.endpoint, crash.incarnation, crash.ordinal, held.is_acquitted)
                for crash, held in entry.crashes.items()
            )
            hasher.update(repr((fingerprint, entry.generation, crashes)).encode())
        return hasher.digest()

    def _merge_crash(
        self, fingerprint: bytes, entry: HeldEntry, told: CrashRecord
    ) -> None:
        crash = Crash(told.endpoint, told.incarnation, told.ordinal)
        held = entry.crashes.get(crash)
        if held is None:
            life_s = told.remaining_life_ms / MS_PER_S
            if not self._hold(fingerprint, entry, crash, life_s):
                return
            held = entry.crashes[crash]
        if told.is_acquitted and not held.is_acquitted:
            held.is_acquitted = True
            self._touch(entry)

    def _hold(
        self, fingerprint: bytes, entry: HeldEntry, crash: Crash, life_s: float
    ) -> bool:
        if crash in entry.crashes or len(entry.crashes) >= MAX_CRASHES:
            return False
        life_s = min(life_s, self._settings.life.total_seconds())
        if life_s <= 0:
            return False
        now_s = self._clock.monotonic_s()
        entry.crashes[crash] = HeldCrash(now_s, now_s + life_s)
        self._by_crash.setdefault(crash, set()).add(fingerprint)
        self._next_expiry_s = min(self._next_expiry_s, now_s + life_s)
        self._touch(entry)
        return True

    def _settle(self, fingerprint: bytes, entry: HeldEntry) -> None:
        """Acquit those beside a quarantined fingerprint at the same crash."""
        for crash in entry.find_active():
            beside = self._by_crash[crash]
            if not any(self.is_quarantined(each) for each in beside):
                continue
            for other in beside:
                held = self._entries[other].crashes[crash]
                if not held.is_acquitted and not self.is_quarantined(other):
                    held.is_acquitted = True
                    self._touch(self._entries[other])
        self._bound()

    def _raise_generation(
        self, fingerprint: bytes, entry: HeldEntry, generation: int, life_s: float
    ) -> None:
        self._drop_crashes(fingerprint, entry, list(entry.crashes))
        life_s = min(life_s, self._settings.life.total_seconds())
        entry.generation = generation
        entry.cleared_until_s = self._clock.monotonic_s() + life_s
        self._next_expiry_s = min(self._next_expiry_s, entry.cleared_until_s)
        self._touch(entry)

    def _touch(self, entry: HeldEntry) -> None:
        entry.version = self._version.increase()

    def _drop_crashes(
        self, fingerprint: bytes, entry: HeldEntry, crashes: list[Crash]
    ) -> None:
        for crash in crashes:
            del entry.crashes[crash]
            beside = self._by_crash[crash]
            beside.discard(fingerprint)
            if not beside:
                del self._by_crash[crash]

    def _bound(self) -> None:
        """Drop entries over the limit: cleared first, then suspects, by age."""
        while len(self._entries) > self._settings.max_entries:
            fingerprint = min(
                self._entries,
                key=lambda each: (
                    len(self._entries[each].find_active()),
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
                for crash, held in entry.crashes.items()
                if held.expires_at_s <= now_s
            ]
            self._drop_crashes(fingerprint, entry, expired)
            if not entry.crashes and entry.cleared_until_s <= now_s:
                del self._entries[fingerprint]
        self._next_expiry_s = min(
            (entry.find_next_expiry_s(now_s) for entry in self._entries.values()),
            default=float("inf"),
        )


def _make_record(fingerprint: bytes, entry: HeldEntry, now_s: float) -> EntryRecord:
    return EntryRecord(
        fingerprint=fingerprint,
        generation=entry.generation,
        crashes=[
            CrashRecord(
                endpoint=crash.endpoint,
                incarnation=crash.incarnation,
                ordinal=crash.ordinal,
                is_acquitted=held.is_acquitted,
                remaining_life_ms=int((held.expires_at_s - now_s) * MS_PER_S),
            )
            for crash, held in entry.crashes.items()
        ],
        remaining_life_ms=int((entry.find_expiry_s() - now_s) * MS_PER_S),
    )
