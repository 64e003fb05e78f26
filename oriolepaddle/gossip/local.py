"""What this instance tells of itself."""

from collections.abc import Callable

import attrs

from oriolepaddle.catalog import Catalog
from oriolepaddle.edge.crash_register import CrashRegister
from oriolepaddle.limits import GrantingLimiter
from oriolepaddle.placement import Placer

__all__ = ["LocalState"]


@attrs.frozen
class LocalState:
    """The parts whose state is announced and that take in others'.

    Attributes:
        catalog: Its version and the age of its knowledge.
        placer: Work at the endpoints.
        limiter: Tokens.
        crashes: Requests that crash endpoints.
        is_ready: Whether callers may be sent here.
        is_leaving: Whether this instance is about to end.
    """

    catalog: Catalog
    placer: Placer
    limiter: GrantingLimiter
    crashes: CrashRegister
    is_ready: Callable[[], bool]
    is_leaving: Callable[[], bool]
