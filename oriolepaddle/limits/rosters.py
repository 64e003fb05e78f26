"""Rosters of the instances that may be running in other data centres."""

from collections.abc import Iterable

from oriolepaddle.peers.gen_py.limits.ttypes import Roster
from oriolepaddle.publication import Instance

__all__ = ["RosterTable"]


class RosterTable:
    """Stores the instances of each other data centre, listed or not.

    After all instances of a data centre were lost, their replacements query the
    other data centres for instances that may still run behind a network partition.
    Not thread-safe: the limiter holds its lock.

    Args:
        own: This instance's data centre; the claims track its members.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._rosters: dict[str, set[str]] = {}

    def add_listed(self, instances: Iterable[Instance]) -> None:
        """Add the instances of a list."""
        for instance in instances:
            self.add(instance.data_centre, [instance.id])

    def add(self, data_centre: str, instances: Iterable[str]) -> None:
        """Add instances of a data centre."""
        if data_centre != self._own:
            self._rosters.setdefault(data_centre, set()).update(instances)

    def replace(
        self, data_centre: str, instances: Iterable[str], listed: Iterable[Instance]
    ) -> None:
        """Replace a roster by the members that a warm member reported."""
        if data_centre != self._own:
            self._rosters[data_centre] = set(instances)
            self.add_listed(listed)

    def instances(self, data_centre: str) -> list[str]:
        """Return the instances of a data centre."""
        return sorted(self._rosters.get(data_centre, ()))

    def to_messages(self) -> list[Roster]:
        """Return all rosters as messages."""
        return [
            Roster(data_centre=centre, instances=self.instances(centre))
            for centre in self._rosters
        ]
