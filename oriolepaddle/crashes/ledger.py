"""The reports of crashes that an instance knows."""

import attrs
import xxhash

from oriolepaddle.clock import Clock
from oriolepaddle.crashes.report import CrashReport
from oriolepaddle.crashes.verdicts import Verdicts, find_verdicts

__all__ = ["CrashLedger"]

RETENTION_S = 3600.0
"""Time for which a crash counts. A crashing part is refused for as long, also where
no instance runs any longer that saw the crashes."""
MAX_REPORTS = 256
MAX_KEYS = 64
"""Keys of each kind in one report: the parts of twenty prompts or more."""
MAX_SENT_REPORTS = 16
MAX_SENT_KEYS = 400
"""Keys in one announcement; they have at most about 100 bytes each, and a datagram
60,000."""
SENT_WHEN_CLEARED_S = 10.0
"""Time for which a report without suspects, and requests that were cut off, are still
sent, so that all instances have them."""


@attrs.frozen
class _StoredReport:
    report: CrashReport
    changed_s: float
    grown_s: float


class CrashLedger:
    """Stores a bounded number of reports. Not thread-safe.

    Args:
        clock: The source of time.

    Attributes:
        changed_s: Monotonic time of the last change.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._stored: dict[str, _StoredReport] = {}
        self._incarnations: dict[str, set[str]] = {}
        self._verdicts: Verdicts | None = None
        self.changed_s = float("-inf")

    def __len__(self) -> int:
        return len(self._stored)

    @property
    def verdicts(self) -> Verdicts:
        """The conclusions from the stored reports."""
        if self._verdicts is None:
            self._verdicts = find_verdicts(
                item.report for item in self._stored.values()
            )
        return self._verdicts

    def merge(self, report: CrashReport) -> bool:
        """Merge a report; return whether it has anything new."""
        if report.recorded_s < self._clock.monotonic_s() - RETENTION_S:
            return False
        stored = self._stored.get(report.incarnation)
        if stored is not None and stored.report.includes(report):
            return False
        merged = stored.report.merge(report) if stored else report
        merged = attrs.evolve(
            merged,
            answering=_limit(merged.answering, report.incarnation),
            waiting=_limit(merged.waiting, report.incarnation),
            requests=_limit(merged.requests, report.incarnation),
            cut=_limit(merged.cut, report.incarnation),
        )
        merged = attrs.evolve(merged, cleared=merged.cleared & merged.keys)
        if stored is not None and merged == stored.report:
            return False
        self.changed_s = self._clock.monotonic_s()
        self._store(merged, stored.report if stored else None)
        return True

    def find(
        self, incarnation: str, grown_before_s: float = float("inf")
    ) -> CrashReport | None:
        """Return the report of an incarnation to which keys were last added before."""
        stored = self._stored.get(incarnation)
        if stored is None or stored.grown_s >= grown_before_s:
            return None
        return stored.report

    def is_suspect(self, key: str) -> bool:
        """Return whether a key was at a crash and has not been cleared of it."""
        return any(
            key not in self._stored[incarnation].report.cleared
            for incarnation in self._incarnations.get(key, ())
        )

    def clear(self, keys: frozenset[str]) -> frozenset[str]:
        """Clear keys of all crashes so far; return those that were suspects."""
        found: set[str] = set()
        incarnations: set[str] = set()
        for key in keys:
            incarnations |= self._incarnations.get(key, set())
        for incarnation in incarnations:
            report = self._stored[incarnation].report
            suspects = (keys & report.keys) - report.cleared
            if suspects:
                found |= suspects
                self.merge(attrs.evolve(report, cleared=report.cleared | suspects))
        return frozenset(found)

    def expire(self) -> list[CrashReport]:
        """Remove and return the reports that are too old or too many."""
        oldest_s = self._clock.monotonic_s() - RETENTION_S
        removed = [
            item.report
            for item in self._stored.values()
            if item.report.recorded_s < oldest_s
        ]
        excess = len(self._stored) - len(removed) - MAX_REPORTS
        if excess > 0:
            removed += [item.report for item in self._rank()[-excess:]]
        for report in removed:
            self._remove(report)
        return removed

    def reports(self) -> list[CrashReport]:
        """Return all reports."""
        return [item.report for item in self._stored.values()]

    def select_to_send(self) -> list[CrashReport]:
        """Return the reports that other instances need most."""
        now_s = self._clock.monotonic_s()
        verdicts = self.verdicts
        selected: list[CrashReport] = []
        key_count = 0
        for item in self._rank():
            report = item.report
            if now_s - item.changed_s >= SENT_WHEN_CLEARED_S:
                # All instances have the others by now, and merge what a later crash
                # adds to them.
                report = _select_decisive(report, verdicts)
                is_due = report.has_suspects
            else:
                is_due = True
            if is_due:
                key_count += len(report.keys) + len(report.cleared)
                if key_count > MAX_SENT_KEYS or len(selected) == MAX_SENT_REPORTS:
                    break
                selected.append(report)
        return selected

    def _store(self, report: CrashReport, previous: CrashReport | None) -> None:
        before = previous or CrashReport(report.incarnation)
        grown_s = self.changed_s
        if previous is not None and report.keys == previous.keys:
            grown_s = self._stored[report.incarnation].grown_s
        stored = _StoredReport(report, self.changed_s, grown_s)
        self._stored[report.incarnation] = stored
        self._drop_from_index(before.keys - report.keys, report.incarnation)
        for key in report.keys:
            self._incarnations.setdefault(key, set()).add(report.incarnation)
        # A whole request at one crash decides nothing, nor does a part at one that
        # isn't confirmed, and most reports have many.
        changed = report.find_changes(before)
        parts = report.parts | before.parts
        has_part_change = not changed.isdisjoint(parts)
        if has_part_change:
            changed |= parts
        if (report.has_ended and has_part_change) or any(
            len(self._incarnations.get(key, ())) > 1 for key in changed
        ):
            self._verdicts = None

    def _remove(self, report: CrashReport) -> None:
        if self._stored.pop(report.incarnation, None) is not None:
            self._drop_from_index(report.keys, report.incarnation)
            self._verdicts = None

    def _drop_from_index(self, keys: frozenset[str], incarnation: str) -> None:
        for key in keys:
            incarnations = self._incarnations.get(key, set())
            incarnations.discard(incarnation)
            if not incarnations:
                self._incarnations.pop(key, None)

    def _rank(self) -> list[_StoredReport]:
        """Return the reports, first those that a refusal rests on, then the newest."""
        verdicts = self.verdicts
        accused = verdicts.causes | verdicts.rivals.keys()
        return sorted(
            self._stored.values(),
            key=lambda item: (
                not accused.isdisjoint(item.report.keys - item.report.cleared),
                item.changed_s,
            ),
            reverse=True,
        )


def _select_decisive(report: CrashReport, verdicts: Verdicts) -> CrashReport:
    """Return a report without what is often cut off and of no consequence so far."""
    cut = report.cut & verdicts.causes
    if report.has_ended:
        return attrs.evolve(report, cut=cut)
    accused = verdicts.causes | verdicts.rivals.keys()
    return attrs.evolve(
        report,
        cut=cut,
        answering=report.answering & accused,
        waiting=report.waiting & accused,
    )


def _limit(keys: frozenset[str], incarnation: str) -> frozenset[str]:
    """Return a bounded choice of keys, the same at all instances.

    The choice differs between crashes, so what is at each of them is not always among
    those left out.
    """
    if len(keys) <= MAX_KEYS:
        return keys
    seed = xxhash.xxh3_64_intdigest(incarnation.encode())
    ranked = sorted(keys, key=lambda key: xxhash.xxh3_64_intdigest(key.encode(), seed))
    return frozenset(ranked[:MAX_KEYS])
