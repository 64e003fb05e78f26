"""Token rate limits per organisation, enforced over the whole fleet."""

from oriolepaddle.lazy import make_loader

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

__getattr__ = make_loader(
    __name__,
    {
        "granting": ("GrantingLimiter",),
        "limiter": (
            "Reservation",
            "TokenLimiter",
        ),
        "link": ("LIMITS_SERVICE",),
        "pooled": (
            "DrawResult",
            "PooledLimiter",
            "TokenPool",
        ),
        "settings": ("LimitSettings",),
        "shared": ("SharedTokenLimiter",),
        "snapshot": ("LimitSnapshot",),
        "token_need": ("TokenNeed",),
    },
)
