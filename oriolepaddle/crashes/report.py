"""What is known of the crash of one endpoint."""

import attrs

__all__ = ["CrashReport"]


@attrs.frozen
class CrashReport:
    """The runs at an endpoint when it crashed or broke them off.

    Merging takes the union of each field, so reports may arrive late, repeatedly and
    in any order.

    Attributes:
        incarnation: The incarnation of the endpoint that crashed.
        answering: Parts of prompts whose response had begun, without an event.
        waiting: Parts of prompts whose response had not begun.
        requests: Whole requests without an event.
        cut: Whole requests that were cut off later, or without a sign that the
            endpoint ended.
        cleared: What has been answered since, and so is not the cause.
        has_ended: Whether the endpoint is known to have ended. Until then, its
            connections may only have been reset.
        recorded_s: Monotonic time at which the crash was first seen; ignored by
            equality.
    """

    incarnation: str
    answering: frozenset[str] = frozenset()
    waiting: frozenset[str] = frozenset()
    requests: frozenset[str] = frozenset()
    cut: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    has_ended: bool = False
    recorded_s: float = attrs.field(default=0.0, eq=False)

    @property
    def keys(self) -> frozenset[str]:
        """All that the crash may have been due to when it was seen."""
        return self.parts | self.whole_requests

    @property
    def parts(self) -> frozenset[str]:
        """All parts of prompts."""
        return self.answering | self.waiting

    @property
    def whole_requests(self) -> frozenset[str]:
        """All whole requests."""
        return self.requests | self.cut

    @property
    def has_suspects(self) -> bool:
        """Whether any key has not been cleared."""
        return not self.keys <= self.cleared

    def find_suspect_parts(self) -> frozenset[str]:
        """Return the parts that may have caused the crash.

        An endpoint crashes when it begins a response, so the parts of a run that only
        waited are suspected only if no run's response had begun.
        """
        return (self.answering - self.cleared) or (self.waiting - self.cleared)

    def find_changes(self, earlier: "CrashReport") -> frozenset[str]:
        """Return the keys that differ from another report of the same crash."""
        if self.has_ended != earlier.has_ended:
            return self.keys | earlier.keys
        return (
            (self.answering ^ earlier.answering)
            | (self.waiting ^ earlier.waiting)
            | (self.requests ^ earlier.requests)
            | (self.cut ^ earlier.cut)
            | (self.cleared ^ earlier.cleared)
        )

    def includes(self, other: "CrashReport") -> bool:
        """Return whether another report of the same crash has nothing new."""
        return (
            other.answering <= self.answering
            and other.waiting <= self.waiting
            and other.requests <= self.requests
            and other.cut <= self.cut
            and other.cleared <= self.cleared
            and other.has_ended <= self.has_ended
        )

    def merge(self, other: "CrashReport") -> "CrashReport":
        """Return the union of two reports of the same crash, with this one's time."""
        return CrashReport(
            self.incarnation,
            self.answering | other.answering,
            self.waiting | other.waiting,
            self.requests | other.requests,
            self.cut | other.cut,
            self.cleared | other.cleared,
            self.has_ended or other.has_ended,
            self.recorded_s,
        )
