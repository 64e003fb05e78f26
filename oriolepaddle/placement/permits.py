"""The interface of permits for endpoints with a limit."""

from typing import Protocol

__all__ = ["FreePermits", "Permits"]


class Permits(Protocol):
    """Permits that this instance holds for single requests, and endpoints' pauses."""

    def may_send(self, incarnation: str, in_flight: int) -> bool:
        """Return whether an endpoint doesn't pause for this instance.

        Args:
            incarnation: The incarnation of the endpoint.
            in_flight: The requests of this instance that it runs.
        """
        ...

    def remaining_pause_s(self, incarnation: str) -> float:
        """Return the seconds until an endpoint's pause ends, 0 without one."""
        ...

    def can_acquire(self, incarnation: str) -> bool:
        """Return whether a request may be sent to an incarnation of an endpoint."""
        ...

    def acquire(self, incarnation: str) -> bool:
        """Acquire a permit for one request; return whether there was one."""
        ...


class FreePermits:
    """Permits where no endpoint has a limit or pauses."""

    def may_send(self, incarnation: str, in_flight: int) -> bool:
        """Return that a request may be sent; see `Permits`."""
        return True

    def remaining_pause_s(self, incarnation: str) -> float:
        """Return that there is no pause; see `Permits`."""
        return 0.0

    def can_acquire(self, incarnation: str) -> bool:
        """Return that a request may be sent; see `Permits`."""
        return True

    def acquire(self, incarnation: str) -> bool:
        """Acquire a permit; see `Permits`."""
        return True
