"""Back-off from peers that failed recently."""

from datetime import timedelta

__all__ = ["Backoff"]


class Backoff:
    """Tracks which peers failed recently.

    Args:
        period: How long a peer isn't called after a failure.
    """

    def __init__(self, period: timedelta) -> None:
        self._period_s = period.total_seconds()
        self._blocked_until_s: dict[str, float] = {}

    def may_call(self, peer: str, now_s: float) -> bool:
        """Return whether a peer may be called."""
        return self._blocked_until_s.get(peer, now_s) <= now_s

    def record_failure(self, peer: str, now_s: float) -> None:
        """Start a peer's back-off period."""
        self._blocked_until_s[peer] = now_s + self._period_s

    def record_success(self, peer: str) -> None:
        """End a peer's back-off period."""
        self._blocked_until_s.pop(peer, None)
