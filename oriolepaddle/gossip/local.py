"""The local state that announcements carry and update."""

from collections.abc import Callable

import attrs

from oriolepaddle.catalog import Catalog
from oriolepaddle.crashes import CrashRegister
from oriolepaddle.gossip.delegations import Delegations
from oriolepaddle.gossip.draws import TokenDraws
from oriolepaddle.gossip.region_loads import RegionLoads
from oriolepaddle.gossip.work import RegionWork
from oriolepaddle.limits import GrantingLimiter
from oriolepaddle.placement import Placer
from oriolepaddle.signals import SignalBoard

__all__ = ["LocalState"]


@attrs.frozen
class LocalState:
    """The components whose state is announced, and that merge others' state.

    Attributes:
        catalog: Its version and its age are announced.
        placer: Estimates the wait of this region.
        work: Running requests at the endpoints.
        loads: The expected waits of other regions.
        limiter: Tokens that are pooled here.
        draws: Draws of tokens.
        permit_draws: Draws of permits for endpoints with a limit.
        delegations: Which instance mints which instances' share of each rate.
        crashes: What crashes endpoints.
        signals: What endpoints say of themselves.
        fetch_catalog: Called with the peer address of an instance whose catalog
            is newer.
    """

    catalog: Catalog
    placer: Placer
    work: RegionWork
    loads: RegionLoads
    limiter: GrantingLimiter
    draws: TokenDraws
    permit_draws: TokenDraws
    delegations: Delegations
    crashes: CrashRegister
    signals: SignalBoard
    fetch_catalog: Callable[[str], None]
