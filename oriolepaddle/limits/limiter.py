"""Interfaces of token limiters and reservations."""

from typing import Protocol

from oriolepaddle.config.model import Organisation

__all__ = ["Reservation", "TokenLimiter"]


class Reservation(Protocol):
    """Tokens reserved for one request."""

    def settle(self, used_tokens: float) -> None:
        """Refund the unused tokens; later calls have no effect."""
        ...

    def release(self) -> None:
        """Refund all tokens; the same as `settle(0)`."""
        ...


class TokenLimiter(Protocol):
    """Enforces the token rate and burst of each organisation."""

    def reserve(self, organisation: Organisation, tokens: float) -> Reservation:
        """Reserve tokens for a request.

        Args:
            organisation: The organisation of the caller.
            tokens: Prompt tokens plus the maximum number of output tokens.

        Raises:
            RefusedError: The organisation has exceeded its rate and burst; the
                request was not run.
        """
        ...
