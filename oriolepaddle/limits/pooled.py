"""A limiter that draws tokens from the instances that pool them.

It is designed for fleets so large that an instance's own fraction of an
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
"""About the time until another instance takes over the pool."""


@attrs.frozen
class DrawResult:
    """The result of a draw.

    Attributes:
        tokens: The number of drawn tokens; 0 if too few were available.
        retry_after: When to retry if too few were available.
    """

    tokens: int
    retry_after: timedelta = timedelta(0)


class TokenPool(Protocol):
    """Draws tokens that other instances pool."""

    def draw(self, organisation: str, tokens: float, available: float) -> DrawResult:
        """Draw tokens from another instance, or from several if none has enough.

        Args:
            organisation: The organisation.
            tokens: The number of tokens that the request needs.
            available: Tokens already available at this instance; only the
                difference is drawn.

        Raises:
            RefusedError: No pooling instance replied.
        """
        ...


class PooledLimiter:
    """Reserves local tokens, and draws missing ones from the pool; thread-safe.

    Args:
        own: The local limiter, which receives the drawn tokens.
        pool: Draws tokens from other instances.
    """

    def __init__(self, own: GrantingLimiter, pool: TokenPool) -> None:
        self._own = own
        self._pool = pool

    def reserve(self, organisation: Organisation, tokens: float) -> Reservation:
        """Reserve tokens for a request; see `TokenLimiter.reserve`."""
        try:
            return self._own.reserve(organisation, tokens)
        except RefusedError:
            available = self._own.available(organisation)
        drawn = self._pool.draw(organisation.id, tokens, available)
        if drawn.tokens > 0:
            self._own.receive({organisation.id: drawn.tokens})
            return self._own.reserve(organisation, tokens, is_repeated=True)
        raise RefusedError(
            f"{organisation.id} has exceeded its token rate and burst",
            code=ErrorCode.RATE_LIMITED,
            retry_after=drawn.retry_after,
        )
