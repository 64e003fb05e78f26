"""Tracks a data centre's instances in the lists that the platform publishes."""

from datetime import timedelta

import attrs

from oriolepaddle.peers import PeerIdentity
from oriolepaddle.publication import InstanceList

__all__ = ["InstanceListTracker", "ListUpdate"]

NEVER_S = float("-inf")


@attrs.frozen
class ListUpdate:
    """The result of reading a newer list.

    Attributes:
        present: The other listed instances of the data centre.
        requested_at_s: When the list was requested.
        is_gap: Whether the previous list is so old that an instance may have been
            listed in between.
    """

    present: frozenset[str]
    requested_at_s: float
    is_gap: bool


class InstanceListTracker:
    """Tracks the newest list and the newest list with this instance.

    Args:
        identity: This instance.
        max_age: Maximum age of a fresh list.
    """

    def __init__(self, identity: PeerIdentity, max_age: timedelta) -> None:
        self.present: frozenset[str] = frozenset()
        self.listed_at_s = NEVER_S
        self._identity = identity
        self._max_age_s = max_age.total_seconds()
        self._requested_at_s = NEVER_S

    def update(self, published: InstanceList) -> ListUpdate | None:
        """Apply a list; return None if it isn't newer than the last one."""
        requested_at_s = published.requested_at_s
        if requested_at_s <= self._requested_at_s:
            return None
        is_gap = requested_at_s - self._requested_at_s > self._max_age_s
        self._requested_at_s = requested_at_s
        own = self._identity
        listed = frozenset(
            instance.id
            for instance in published.instances
            if instance.data_centre == own.data_centre
        )
        if own.instance in listed:
            self.listed_at_s = requested_at_s
        self.present = listed - {own.instance}
        return ListUpdate(self.present, requested_at_s, is_gap)

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the newest list is fresh and lists this instance."""
        is_listed = self._requested_at_s == self.listed_at_s
        return is_listed and now_s - self._requested_at_s <= self._max_age_s
