"""The interface of a limiter."""

from typing import Protocol

from oriolepaddle.config.model import Organisation

__all__ = ["Reservation", "TokenLimiter"]


class Reservation(Protocol):
    """Tokens set aside for one request."""

    def settle(self, used_tokens: float) -> None:
        """Give back what was not used; later calls have no effect."""
        ...

    def release(self) -> None:
        """Give back all tokens, as `settle(0)` does."""
        ...


class TokenLimiter(Protocol):
    """Holds each organisation to its rate and burst."""

    def reserve(self, organisation: Organisation, tokens: float) -> Reservation:
        """Set tokens aside for a request.

        Args:
            organisation: The organisation that asks.
            tokens: Prompt tokens plus the most output tokens allowed.

        Raises:
            RefusedError: The organisation has used its rate and burst; the
                request was not run.
        """
        ...
