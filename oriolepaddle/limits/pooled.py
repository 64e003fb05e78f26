"""A limiter that takes tokens from where they are pooled.

The load that this answers: fleets so large that an instance's own part of an
organisation's rate is less than one request needs.
"""

from datetime import timedelta
from typing import Protocol

import attrs

from oriolepaddle.config.model import Organisation
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.limits.granting import GrantingLimiter
from oriolepaddle.limits.limiter import Reservation

__all__ = ["UNREACHABLE_RETRY_AFTER", "DrawResult", "PooledLimiter", "TokenPool"]

UNREACHABLE_RETRY_AFTER = timedelta(milliseconds=400)
"""About the time in which another pool takes over."""


@attrs.frozen
class DrawResult:
    """What a draw has brought.

    Attributes:
        tokens: Tokens that are now here; 0 if there were too few.
        retry_after: When to ask again if there were too few.
    """

    tokens: int
    retry_after: timedelta = timedelta(0)


class TokenPool(Protocol):
    """Tokens that other instances hold."""

    def draw(self, organisation: str, tokens: float, available: float) -> DrawResult:
        """Take tokens at other instances, from several if none has enough.

        Args:
            organisation: The organisation.
            tokens: What is needed.
            available: Tokens already available at this instance; only the
                difference is drawn.

        Raises:
            RefusedError: No instance that pools tokens answered.
        """
        ...


class PooledLimiter:
    """Reserves from the own pool, else from others' too; thread-safe.

    Args:
        own: The own pool; what is drawn goes into it.
        pool: Reaches the others.
    """

    def __init__(self, own: GrantingLimiter, pool: TokenPool) -> None:
        self._own = own
        self._pool = pool

    def reserve(self, organisation: Organisation, tokens: float) -> Reservation:
        """Set tokens aside for a request; see `TokenLimiter.reserve`."""
        try:
            return self._own.reserve(organisation, tokens)
        except RefusedError:
            held = self._own.available(organisation)
        drawn = self._pool.draw(organisation.id, tokens, held)
        if drawn.tokens > 0:
            self._own.receive({organisation.id: drawn.tokens})
            return self._own.reserve(organisation, tokens, is_repeated=True)
        raise RefusedError(
            f"{organisation.id} has used its rate and burst",
            code=ErrorCode.RATE_LIMITED,
            retry_after=drawn.retry_after,
        )
