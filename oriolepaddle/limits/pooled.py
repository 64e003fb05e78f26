"""A limiter that takes tokens from where they are pooled.

The load that this answers: fleets so large that an instance's own part of an
organisation's rate is less than one request needs.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from oriolepaddle.config.model import Organisation
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.limits.granting import GrantingLimiter
from oriolepaddle.limits.limiter import Reservation
from oriolepaddle.limits.reservation import ReservationPart, SharedReservation

__all__ = ["PooledLimiter", "TokenPool"]

UNREACHABLE_RETRY = timedelta(milliseconds=400)
"""About the time in which another pool takes over."""


class TokenPool(Protocol):
    """Tokens that other instances hold."""

    def is_own(self) -> bool:
        """Return whether this instance itself pools tokens."""
        ...

    def draw(self, organisation: str, tokens: float) -> timedelta | None:
        """Take tokens at another instance.

        Returns:
            None if they were given, else when to ask again.

        Raises:
            RefusedError: No instance that pools tokens answered.
        """
        ...


class PooledLimiter:
    """Reserves from the own pool, else from another's; thread-safe.

    Tokens that were drawn and not used go into the own purse and serve the next
    request.

    Args:
        own: The own pool and purse.
        pool: Reaches the others.
    """

    def __init__(self, own: GrantingLimiter, pool: TokenPool) -> None:
        self._own = own
        self._pool = pool

    def reserve(self, organisation: Organisation, tokens: float) -> Reservation:
        """Set tokens aside for a request; see `TokenLimiter.reserve`."""
        try:
            return self._own.reserve(organisation, tokens)
        except RefusedError as error:
            refusal = error
        retry_after = self._pool.draw(organisation.id, tokens)
        if retry_after is None:
            part = ReservationPart(tokens, self._settler(organisation.id, tokens))
            return SharedReservation([part], lambda used: None)
        if self._pool.is_own():
            raise refusal
        raise RefusedError(
            f"{organisation.id} has used its rate and burst",
            code=ErrorCode.RATE_LIMITED,
            retry_after=retry_after,
        )

    def _settler(self, organisation: str, tokens: float) -> Callable[[float], None]:
        def _settle(used: float) -> None:
            unused = int(tokens - used)
            if unused > 0:
                self._own.receive({organisation: unused})

        return _settle
