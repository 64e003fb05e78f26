"""Peers that did not answer are left alone for a while."""

from datetime import timedelta

__all__ = ["Backoff"]


class Backoff:
    """Remembers which peers failed lately.

    Args:
        period: How long a failed peer is left alone.
    """

    def __init__(self, period: timedelta) -> None:
        self._period_s = period.total_seconds()
        self._until_s: dict[str, float] = {}

    def is_open(self, peer: str, now_s: float) -> bool:
        """Return whether a peer may be called."""
        return self._until_s.get(peer, now_s) <= now_s

    def note_failure(self, peer: str, now_s: float) -> None:
        """Leave a peer alone from now on."""
        self._until_s[peer] = now_s + self._period_s

    def note_success(self, peer: str) -> None:
        """Call a peer again without waiting."""
        self._until_s.pop(peer, None)
