"""The state that one instance stores for one fingerprint."""

import attrs

from oriolepaddle.quarantine.crash import Crash

__all__ = ["CrashState", "StoredEntry"]


@attrs.define
class CrashState:
    """The state of a crash of one fingerprint; times in monotonic seconds."""

    recorded_at_s: float
    expires_at_s: float
    is_dismissed: bool = False


@attrs.define
class StoredEntry:
    """The stored state of one fingerprint; times in monotonic seconds."""

    generation: int = 0
    crashes: dict[Crash, CrashState] = attrs.Factory(dict)
    cleared_until_s: float = 0.0
    version: int = 0

    def find_undismissed(self) -> list[Crash]:
        """Return the crashes that are not dismissed."""
        return [
            crash for crash, state in self.crashes.items() if not state.is_dismissed
        ]

    def find_expiry_s(self) -> float:
        """Return when the whole entry has expired."""
        return max(
            [self.cleared_until_s]
            + [state.expires_at_s for state in self.crashes.values()]
        )

    def find_next_expiry_s(self, now_s: float) -> float:
        """Return when the next part of the entry expires after `now_s`."""
        times_s = [state.expires_at_s for state in self.crashes.values()]
        if self.cleared_until_s > now_s:
            times_s.append(self.cleared_until_s)
        return min(times_s, default=now_s)
