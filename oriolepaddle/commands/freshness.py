"""The interface that tells how old this instance's knowledge may be."""

from typing import Protocol

__all__ = ["Freshness"]


class Freshness(Protocol):
    """Tells when the merged configuration was last known to be complete."""

    def age_s(self) -> float:
        """Return the seconds since the configuration was confirmed.

        It is confirmed by the platform, or by a majority of the listed
        instances of this data centre. The age counts from before they were
        asked, by a clock that goes on during a suspend; infinity means never.
        """
        ...
