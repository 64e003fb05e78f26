"""The published weights of the data centres, old and new."""

import attrs
import xxhash

from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import ObjectKind

__all__ = ["WeightHistory", "WeightTable"]

LONG_AGO_S = float("-inf")


@attrs.frozen
class WeightTable:
    """One state of all data centres' weights.

    Attributes:
        digest: Identifies the table over the fleet.
        fraction: This data centre's part of all weights, from 0 to 1.
        seen_s: When this instance first used the table.
    """

    digest: int
    fraction: float
    seen_s: float


class WeightHistory:
    """The weight tables of which some instance may still use any.

    Tickets reach instances at different times. The least fraction of all these
    tables is safe under each of them, so a data centre shrinks at once and
    grows when every member of every data centre is bound by the new table.

    Args:
        config: The configuration.
        data_centre: This instance's data centre.
        settle_s: Seconds until loans made under older tables have run out.
    """

    def __init__(self, config: ConfigState, data_centre: str, settle_s: float) -> None:
        self._config = config
        self._data_centre = data_centre
        self._settle_s = settle_s
        self._tables = [self._read(LONG_AGO_S)]
        self._confirmed: dict[str, frozenset[int]] = {}

    @property
    def fraction(self) -> float:
        """The part of each rate and burst that is safe under all tables."""
        return min(table.fraction for table in self._tables)

    @property
    def newest(self) -> int:
        """The digest of the newest table."""
        return self._tables[-1].digest

    @property
    def is_settled(self) -> bool:
        """Whether only one table is in use."""
        return len(self._tables) == 1

    def note_change(self, now_s: float, is_idle: bool) -> None:
        """Take in the present weights.

        Args:
            now_s: The monotonic time.
            is_idle: Whether this instance holds nothing, so that no older
                table can bind it.
        """
        table = self._read(LONG_AGO_S if is_idle else now_s)
        if table.digest == self.newest:
            return
        self._tables = [table] if is_idle else [*self._tables, table]

    def digests(self, now_s: float) -> frozenset[int]:
        """Return the tables that bound all that this instance lent and uses."""
        return frozenset(
            table.digest
            for table in self._tables
            if now_s - table.seen_s >= self._settle_s
        )

    def waiting_for(self, digests: frozenset[int]) -> tuple[str, ...]:
        """Return the other data centres that have not confirmed a table.

        Args:
            digests: The tables that bound every member of this data centre.
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

    def confirm(self, data_centre: str, digests: frozenset[int]) -> None:
        """Note the tables that bound every member of a data centre."""
        self._confirmed[data_centre] = digests

    def settle(self, digests: frozenset[int]) -> None:
        """Drop older tables once all data centres are bound by the newest."""
        if self.newest in digests and not self.waiting_for(digests):
            self._tables = [self._tables[-1]]

    def _read(self, seen_s: float) -> WeightTable:
        centres = self._config.data_centres()
        total = sum(centre.weight for centre in centres)
        own = sum(c.weight for c in centres if c.id == self._data_centre)
        fraction = own / total if total > 0 else 0.0
        return WeightTable(self._digest(), fraction, seen_s)

    def _digest(self) -> int:
        # Numbers and tombstones are part of it, so that no table comes back.
        numbers = sorted(
            (entry.id, entry.number)
            for entry in self._config.entries()
            if entry.kind is ObjectKind.DATA_CENTRE
        )
        return xxhash.xxh64_intdigest(repr(numbers).encode()) >> 1
