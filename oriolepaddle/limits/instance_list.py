"""What the platform's lists say of one data centre."""

from datetime import timedelta

import attrs

from oriolepaddle.peers import PeerIdentity
from oriolepaddle.publication import InstanceList

__all__ = ["ListReading", "Listing"]

NEVER_S = float("-inf")


@attrs.frozen
class ListReading:
    """A list that was read anew.

    Attributes:
        present: The other listed instances of the data centre.
        asked_s: When the list was asked for.
        is_gap: Whether the reading before it was too long ago to say that an
            instance was never listed in between.
    """

    present: frozenset[str]
    asked_s: float
    is_gap: bool


class Listing:
    """The newest list, and the newest that named this instance.

    Args:
        identity: This instance.
        max_age: How old the last reading may be to be fresh.
    """

    def __init__(self, identity: PeerIdentity, max_age: timedelta) -> None:
        self.present: frozenset[str] = frozenset()
        self.named_s = NEVER_S
        self._identity = identity
        self._max_age_s = max_age.total_seconds()
        self._asked_s = NEVER_S

    def note(self, published: InstanceList) -> ListReading | None:
        """Take in a list; return None if it was taken in before."""
        asked_s = published.asked_at_s
        if asked_s <= self._asked_s:
            return None
        is_gap = asked_s - self._asked_s > self._max_age_s
        self._asked_s = asked_s
        own = self._identity
        names = frozenset(
            instance.id
            for instance in published.instances
            if instance.data_centre == own.data_centre
        )
        if own.instance in names:
            self.named_s = asked_s
        self.present = names - {own.instance}
        return ListReading(self.present, asked_s, is_gap)

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the newest list is fresh and names this instance."""
        is_named = self._asked_s == self.named_s
        return is_named and now_s - self._asked_s <= self._max_age_s
