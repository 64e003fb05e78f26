"""The state of the heartbeats to and from one peer."""

import attrs

__all__ = ["Peer", "SentRecord"]

MAX_BACKOFF_S = 16.0


@attrs.frozen
class SentRecord:
    """What a peer was last told of a member.

    Attributes:
        incarnation: The member's incarnation.
        is_leaving: Whether it was leaving.
        sent_at_s: Monotonic seconds at which the peer was told.
    """

    incarnation: int
    is_leaving: bool
    sent_at_s: float


@attrs.define
class Peer:
    """One peer; `Membership` guards it with its lock.

    Attributes:
        name: The peer's id.
        due_at_s: Monotonic seconds at which the next heartbeat is due.
        asked_at_s: When the last answered heartbeat was sent, or None.
        tried_at_s: When the first heartbeat since the last answer was sent,
            or None if none is unanswered.
        heard_at_s: When a heartbeat of the peer itself last came in, or None.
        incarnation: The incarnation in which it last spoke, or None.
        failures: Heartbeats in a row that were not answered.
        is_busy: Whether a heartbeat is on the way.
        is_ready: Whether callers may be sent to it, by its own word.
        config_digest: The digest of its configuration, or None before it spoke.
        highest_ticket: The highest ticket number that it holds.
        sent: What it was told of each member.
    """

    name: str
    due_at_s: float
    asked_at_s: float | None = None
    tried_at_s: float | None = None
    heard_at_s: float | None = None
    incarnation: int | None = None
    failures: int = 0
    is_busy: bool = False
    is_ready: bool = True
    config_digest: int | None = None
    highest_ticket: int = 0
    sent: dict[str, SentRecord] = attrs.field(factory=dict)

    def note_sent(self, now_s: float) -> None:
        """Note that a heartbeat goes out."""
        self.is_busy = True
        if self.tried_at_s is None:
            self.tried_at_s = now_s

    def note_answer(self, asked_at_s: float, due_at_s: float) -> None:
        """Note that the heartbeat sent at `asked_at_s` was answered."""
        self.is_busy = False
        self.asked_at_s = asked_at_s
        self.tried_at_s = None
        self.failures = 0
        self.due_at_s = due_at_s

    def note_failure(self, now_s: float, interval_s: float) -> None:
        """Note that a heartbeat failed, and back off."""
        self.is_busy = False
        self.failures += 1
        backoff_s = interval_s * 2 ** min(self.failures - 1, 5)
        self.due_at_s = now_s + min(backoff_s, MAX_BACKOFF_S)

    def is_reachable(self, now_s: float, timeout_s: float) -> bool:
        """Return whether a heartbeat sent within the timeout was answered."""
        return self.asked_at_s is not None and now_s - self.asked_at_s <= timeout_s

    def is_suspect(self, now_s: float, timeout_s: float) -> bool:
        """Return whether it was tried and does not answer."""
        return self.failures >= 2 and not self.is_reachable(now_s, timeout_s)
