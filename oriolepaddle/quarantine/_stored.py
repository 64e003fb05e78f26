"""What one instance holds of one fingerprint."""

import attrs

from oriolepaddle.quarantine.crash import Crash

__all__ = ["HeldCrash", "HeldEntry"]


@attrs.define
class HeldCrash:
    """A crash held against one fingerprint; times in monotonic seconds."""

    learnt_at_s: float
    expires_at_s: float
    is_acquitted: bool = False


@attrs.define
class HeldEntry:
    """All that is held of one fingerprint; times in monotonic seconds."""

    generation: int = 0
    crashes: dict[Crash, HeldCrash] = attrs.Factory(dict)
    cleared_until_s: float = 0.0
    version: int = 0

    def find_active(self) -> list[Crash]:
        """Return the crashes that are not acquitted."""
        return [crash for crash, held in self.crashes.items() if not held.is_acquitted]

    def find_expiry_s(self) -> float:
        """Return when nothing of the entry is left."""
        return max(
            [self.cleared_until_s]
            + [held.expires_at_s for held in self.crashes.values()]
        )

    def find_next_expiry_s(self, now_s: float) -> float:
        """Return when the next part of the entry expires after `now_s`."""
        times_s = [held.expires_at_s for held in self.crashes.values()]
        if self.cleared_until_s > now_s:
            times_s.append(self.cleared_until_s)
        return min(times_s, default=now_s)
