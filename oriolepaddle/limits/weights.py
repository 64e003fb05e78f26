"""History of the data centres' published weights."""

import attrs
import xxhash

from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import ObjectKind

__all__ = ["WeightHistory", "WeightTable"]

LONG_AGO_S = float("-inf")


@attrs.frozen
class WeightTable:
    """One version of all data centres' weights.

    Attributes:
        digest: Identifies the table across the fleet.
        fraction: This data centre's fraction of the sum of all weights.
        first_used_s: When this instance first used the table.
    """

    digest: int
    fraction: float
    first_used_s: float


class WeightHistory:
    """The weight tables that some instance may still use.

    Tickets reach instances at different times. The minimum fraction over all these
    tables is safe under each of them. So a data centre shrinks immediately, and
    grows once every member of every data centre obeys the new table.

    Args:
        config: The configuration.
        data_centre: This instance's data centre.
        settle_s: Seconds until loans made under older tables have run out.
    """

    def __init__(self, config: ConfigState, data_centre: str, settle_s: float) -> None:
        self._config = config
        self._data_centre = data_centre
        self._settle_s = settle_s
        self._tables = [self._make_table(LONG_AGO_S)]
        self._confirmed: dict[str, frozenset[int]] = {}

    @property
    def fraction(self) -> float:
        """The fraction of each rate and burst that is safe under all tables."""
        return min(table.fraction for table in self._tables)

    @property
    def newest(self) -> int:
        """The digest of the newest table."""
        return self._tables[-1].digest

    @property
    def is_settled(self) -> bool:
        """Whether only one table is in use."""
        return len(self._tables) == 1

    def record_change(self, now_s: float, is_idle: bool) -> None:
        """Record the current weights.

        Args:
            now_s: The monotonic time.
            is_idle: Whether this instance has no claim or loans, so that it need
                not retain older tables.
        """
        table = self._make_table(LONG_AGO_S if is_idle else now_s)
        if table.digest == self.newest:
            return
        self._tables = [table] if is_idle else [*self._tables, table]

    def digests(self, now_s: float) -> frozenset[int]:
        """Return the tables that limit all share this instance mints or has lent."""
        return frozenset(
            table.digest
            for table in self._tables
            if now_s - table.first_used_s >= self._settle_s
        )

    def unconfirmed_centres(self, digests: frozenset[int]) -> tuple[str, ...]:
        """Return the other data centres that have not confirmed the newest table.

        Args:
            digests: The tables that every member of this data centre obeys.
        """
        newest = self.newest
        if self.is_settled or newest not in digests:
            return ()
        return tuple(
            centre.id
            for centre in self._config.data_centres()
            if centre.id != self._data_centre
            and newest not in self._confirmed.get(centre.id, ())
        )

    def record_confirmation(self, data_centre: str, digests: frozenset[int]) -> None:
        """Record the tables that every member of a data centre obeys."""
        self._confirmed[data_centre] = digests

    def drop_superseded(self, digests: frozenset[int]) -> None:
        """Drop older tables once all data centres obey the newest."""
        if self.newest in digests and not self.unconfirmed_centres(digests):
            self._tables = [self._tables[-1]]

    def _make_table(self, first_used_s: float) -> WeightTable:
        centres = self._config.data_centres()
        total = sum(centre.weight for centre in centres)
        own = sum(c.weight for c in centres if c.id == self._data_centre)
        fraction = own / total if total > 0 else 0.0
        return WeightTable(self._digest(), fraction, first_used_s)

    def _digest(self) -> int:
        # Includes ticket numbers and tombstones, so that equal weights published
        # again get a new digest.
        numbers = sorted(
            (entry.id, entry.number)
            for entry in self._config.entries()
            if entry.kind is ObjectKind.DATA_CENTRE
        )
        return xxhash.xxh64_intdigest(repr(numbers).encode()) >> 1
