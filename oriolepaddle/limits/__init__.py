"""Rate and burst of each organisation, counted over the whole fleet."""

from oriolepaddle.limits.granting import GrantingLimiter
from oriolepaddle.limits.limiter import Reservation, TokenLimiter
from oriolepaddle.limits.link import LIMITS_SERVICE
from oriolepaddle.limits.pooled import DrawResult, PooledLimiter, TokenPool
from oriolepaddle.limits.settings import LimitSettings
from oriolepaddle.limits.shared import SharedTokenLimiter
from oriolepaddle.limits.snapshot import LimitSnapshot
from oriolepaddle.limits.token_need import TokenNeed

__all__ = [
    "LIMITS_SERVICE",
    "DrawResult",
    "GrantingLimiter",
    "LimitSettings",
    "LimitSnapshot",
    "PooledLimiter",
    "Reservation",
    "SharedTokenLimiter",
    "TokenLimiter",
    "TokenNeed",
    "TokenPool",
]
