"""The interface of the endpoints' reported paces."""

from collections.abc import Callable
from typing import Protocol

__all__ = ["NoPaces", "Pace", "Paces"]


class Pace(Protocol):
    """The pace of one endpoint; a factor of 1 is as usual, 2 takes twice as long."""

    @property
    def last_reading(self) -> tuple[float, float] | None:
        """Monotonic time and factor of its newest reading, or None."""
        ...

    def find_factor(self, now_s: float, horizon_s: float) -> float:
        """Return the expected mean factor from now for a time in seconds."""
        ...

    def find_service_factor(self) -> float:
        """Return the mean factor of the service's endpoints."""
        ...

    def find_past_factor(self, started_s: float, now_s: float) -> float:
        """Return the mean factor of a time that ends now."""
        ...


class Paces(Protocol):
    """The paces of all endpoints."""

    def find_service(self, service: str) -> Callable[[str], Pace] | None:
        """Return a function that finds the pace of an incarnation of an endpoint.

        Returns:
            None if the service's endpoints report no pace.
        """
        ...

    def find(self, incarnation: str, service: str) -> Pace | None:
        """Return an endpoint's pace; None if its service's endpoints report none."""
        ...


class NoPaces:
    """Paces where no endpoint reports any."""

    def find_service(self, service: str) -> Callable[[str], Pace] | None:
        """Return that there are no paces; see `Paces`."""
        return None

    def find(self, incarnation: str, service: str) -> Pace | None:
        """Return that there is no pace; see `Paces`."""
        return None
