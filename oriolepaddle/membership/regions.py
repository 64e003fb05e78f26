"""The regions of data centres, relative to one instance."""

from collections.abc import Callable

__all__ = ["Regions"]


class Regions:
    """Compares data centres with places, and with one instance's region.

    Args:
        data_centre: The instance's own data centre.
        region_of: Maps a data centre to its region, or None if unknown.
    """

    def __init__(
        self, data_centre: str, region_of: Callable[[str], str | None]
    ) -> None:
        self._data_centre = data_centre
        self._region_of = region_of

    def is_near(self, data_centre: str) -> bool:
        """Return whether a data centre is this instance's or in the same region."""
        if data_centre == self._data_centre:
            return True
        region = self._region_of(data_centre)
        return region is not None and region == self._region_of(self._data_centre)

    def is_in(self, data_centre: str, place: str | None) -> bool:
        """Return whether a data centre is in a place; None stands for anywhere."""
        return place is None or place in (data_centre, self._region_of(data_centre))
