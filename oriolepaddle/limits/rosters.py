"""Which instances of the other data centres may be running."""

from collections.abc import Iterable

from oriolepaddle.peers.gen_py.limits.ttypes import Roster
from oriolepaddle.publication import Instance

__all__ = ["RosterBook"]


class RosterBook:
    """Remembers the instances of each other data centre, listed or not.

    When all instances of a data centre were lost, those that replace them ask
    the others whether one may live on, cut off. Not thread-safe: the limiter
    holds its lock.

    Args:
        own: The own data centre, which the claims account for.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._rosters: dict[str, set[str]] = {}

    def note_listed(self, instances: Iterable[Instance]) -> None:
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
        """Take over what a warm member of a data centre knows of it."""
        if data_centre != self._own:
            self._rosters[data_centre] = set(instances)
            self.note_listed(listed)

    def instances(self, data_centre: str) -> list[str]:
        """Return the instances of a data centre."""
        return sorted(self._rosters.get(data_centre, ()))

    def write(self) -> list[Roster]:
        """Return all rosters as messages."""
        return [
            Roster(data_centre=centre, instances=self.instances(centre))
            for centre in self._rosters
        ]
