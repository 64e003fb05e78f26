"""Interface for the age of this instance's configuration."""

from typing import Protocol

__all__ = ["Freshness"]


class Freshness(Protocol):
    """Reports how long ago the merged configuration was confirmed as complete."""

    def age_s(self) -> float:
        """Return the seconds since the configuration was last confirmed.

        The platform confirms it, or a majority of the listed instances of
        this data centre. The age counts from before the request was sent, by a
        clock that advances during a suspend. Infinity means never confirmed.
        """
        ...
