"""The interface of permits for endpoints with a limit."""

from typing import Protocol

__all__ = ["FreePermits", "Permits"]


class Permits(Protocol):
    """Permits that this instance holds for single requests."""

    def can_acquire(self, incarnation: str) -> bool:
        """Return whether a request may be sent to an incarnation of an endpoint."""
        ...

    def acquire(self, incarnation: str) -> bool:
        """Acquire a permit for one request; return whether there was one."""
        ...


class FreePermits:
    """Permits where no endpoint has a limit."""

    def can_acquire(self, incarnation: str) -> bool:
        """Return that a request may be sent; see `Permits`."""
        return True

    def acquire(self, incarnation: str) -> bool:
        """Acquire a permit; see `Permits`."""
        return True
