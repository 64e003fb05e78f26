"""Soft state that instances gossip to each other in UDP datagrams."""

from oriolepaddle.gossip.announcer import Announcer
from oriolepaddle.gossip.delegations import Delegations
from oriolepaddle.gossip.draws import TokenDraws
from oriolepaddle.gossip.entry import RosterEntry
from oriolepaddle.gossip.local import LocalState
from oriolepaddle.gossip.region_loads import RegionLoads
from oriolepaddle.gossip.roster import Roster
from oriolepaddle.gossip.work import RegionWork

__all__ = [
    "Announcer",
    "Delegations",
    "LocalState",
    "RegionLoads",
    "RegionWork",
    "Roster",
    "RosterEntry",
    "TokenDraws",
]
