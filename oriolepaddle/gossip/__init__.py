"""Soft state that instances tell each other by datagrams."""

from oriolepaddle.gossip.announcer import Announcer
from oriolepaddle.gossip.local import LocalState
from oriolepaddle.gossip.region_loads import RegionLoads
from oriolepaddle.gossip.roster import Roster
from oriolepaddle.gossip.tokens import TokenExchange

__all__ = ["Announcer", "LocalState", "RegionLoads", "Roster", "TokenExchange"]
