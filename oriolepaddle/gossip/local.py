"""What this instance tells of itself."""

from collections.abc import Callable

import attrs

from oriolepaddle.catalog import Catalog
from oriolepaddle.edge.crash_register import CrashRegister
from oriolepaddle.gossip.delegations import Delegations
from oriolepaddle.gossip.draws import TokenDraws
from oriolepaddle.gossip.region_loads import RegionLoads
from oriolepaddle.gossip.work import RegionWork
from oriolepaddle.limits import GrantingLimiter
from oriolepaddle.placement import Placer

__all__ = ["LocalState"]


@attrs.frozen
class LocalState:
    """The parts whose state is announced and that take in others'.

    Attributes:
        catalog: Its version and the age of its knowledge.
        placer: The wait of this region.
        work: Work at the endpoints.
        loads: The waits of other regions.
        limiter: Tokens that are pooled here.
        draws: Draws of tokens.
        delegations: Who mints whose part.
        crashes: Requests that crash endpoints.
        fetch_catalog: Called with the peer address of an instance that knows more.
    """

    catalog: Catalog
    placer: Placer
    work: RegionWork
    loads: RegionLoads
    limiter: GrantingLimiter
    draws: TokenDraws
    delegations: Delegations
    crashes: CrashRegister
    fetch_catalog: Callable[[str], None]
