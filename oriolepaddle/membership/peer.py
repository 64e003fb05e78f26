"""The state of the heartbeats to and from one peer."""

import attrs

__all__ = ["Peer", "SentRecord"]

MAX_BACKOFF_S = 16.0


@attrs.frozen
class SentRecord:
    """The last record of one member that was sent to a peer.

    Attributes:
        incarnation: The member's incarnation.
        is_leaving: Whether the member was leaving.
        sent_at_s: Monotonic time in seconds at which it was sent.
    """

    incarnation: int
    is_leaving: bool
    sent_at_s: float


@attrs.define
class Peer:
    """The heartbeat state of one peer. Guarded by the lock of `Membership`.

    Attributes:
        name: The id of the peer's instance.
        due_at_s: Monotonic time in seconds at which the next heartbeat is due.
        last_answered_sent_at_s: When the last answered heartbeat was sent, or None.
        unanswered_since_s: When the oldest unanswered heartbeat was sent, or None.
        last_received_at_s: When a heartbeat from the peer was last received, or
            None.
        incarnation: The incarnation of its last message, or None.
        failures: The number of consecutive unanswered heartbeats.
        is_heartbeat_in_flight: Whether a heartbeat to it is in flight.
        is_ready: Whether it reports that it accepts requests.
        config_digest: The digest of its configuration, or None before its first
            message.
        highest_ticket: The highest ticket number that it has.
        sent_records: The last record sent to it, by member.
    """

    name: str
    due_at_s: float
    last_answered_sent_at_s: float | None = None
    unanswered_since_s: float | None = None
    last_received_at_s: float | None = None
    incarnation: int | None = None
    failures: int = 0
    is_heartbeat_in_flight: bool = False
    is_ready: bool = True
    config_digest: int | None = None
    highest_ticket: int = 0
    sent_records: dict[str, SentRecord] = attrs.field(factory=dict)

    def record_sent(self, now_s: float) -> None:
        """Record that a heartbeat is sent."""
        self.is_heartbeat_in_flight = True
        if self.unanswered_since_s is None:
            self.unanswered_since_s = now_s

    def record_reply(self, sent_at_s: float, due_at_s: float) -> None:
        """Record that the heartbeat sent at `sent_at_s` was answered."""
        self.is_heartbeat_in_flight = False
        self.last_answered_sent_at_s = sent_at_s
        self.unanswered_since_s = None
        self.failures = 0
        self.due_at_s = due_at_s

    def record_failure(self, now_s: float, interval_s: float) -> None:
        """Record that a heartbeat failed, and back off."""
        self.is_heartbeat_in_flight = False
        self.failures += 1
        backoff_s = interval_s * 2 ** min(self.failures - 1, 5)
        self.due_at_s = now_s + min(backoff_s, MAX_BACKOFF_S)

    def is_reachable(self, now_s: float, timeout_s: float) -> bool:
        """Return whether a heartbeat sent within the timeout was answered."""
        return (
            self.last_answered_sent_at_s is not None
            and now_s - self.last_answered_sent_at_s <= timeout_s
        )

    def is_suspect(self, now_s: float, timeout_s: float) -> bool:
        """Return whether it is unreachable after at least two failed heartbeats."""
        return self.failures >= 2 and not self.is_reachable(now_s, timeout_s)
