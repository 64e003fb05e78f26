"""Tokens that instances give each other."""

from oriolepaddle.gossip.roster import Roster
from oriolepaddle.limits import GrantingLimiter, TokenNeed
from oriolepaddle.peers.gen_py.gossip.ttypes import (
    Announcement,
    TokenBalance,
    TokenGrant,
)

__all__ = ["TokenExchange"]


class TokenExchange:
    """Gives what can be spared to those that lack it.

    Args:
        limiter: This instance's tokens.
        roster: The other instances.
    """

    def __init__(self, limiter: GrantingLimiter, roster: Roster) -> None:
        self._limiter = limiter
        self._roster = roster

    def balances(self) -> list[TokenBalance]:
        """Return what this instance tells of its tokens."""
        return [
            TokenBalance(name, need.spare, need.wanted)
            for name, need in self._limiter.needs().items()
        ]

    def give(self, peer: Announcement) -> list[TokenGrant]:
        """Take out what an instance is to get with the next datagram."""
        wanted = {
            item.organisation: TokenNeed(item.spare, item.wanted)
            for item in peer.balances or ()
            if item.wanted > 0
        }
        if not wanted:
            return []
        grants = self._limiter.give(wanted, self._sum_spares())
        return [TokenGrant(name, tokens) for name, tokens in grants.items()]

    def receive(self, grants: list[TokenGrant]) -> None:
        """Add what another instance gave."""
        self._limiter.receive({item.organisation: item.tokens for item in grants})

    def _sum_spares(self) -> dict[str, int]:
        spares = {name: need.spare for name, need in self._limiter.needs().items()}
        for heard in self._roster.alive():
            for item in heard.balances or ():
                held = spares.get(item.organisation, 0)
                spares[item.organisation] = held + item.spare
        return spares
