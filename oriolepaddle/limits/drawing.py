"""Draws tokens from other instances for one request."""

import itertools
from datetime import timedelta

from oriolepaddle.errors import PeerError, PeerTimeoutError
from oriolepaddle.limits.link import LimitsLink
from oriolepaddle.limits.reservation import ReservationPart
from oriolepaddle.limits.settlements import Settlements
from oriolepaddle.limits.state import Ledger
from oriolepaddle.peers.gen_py.limits.ttypes import DrawReply, DrawRequest

__all__ = ["LEAST_TOKENS", "TokenDrawer"]

REMOTE_HOMES = 3
# Parts of a reservation add up to what was asked for but for rounding.
LEAST_TOKENS = 1e-6


class TokenDrawer:
    """Asks the home of an organisation, and whom it names, for tokens.

    Args:
        ledger: This instance's accounts and claims.
        link: Calls the peers.
        settlements: Gives back what was not used.
    """

    def __init__(
        self, ledger: Ledger, link: LimitsLink, settlements: Settlements
    ) -> None:
        self._ledger = ledger
        self._link = link
        self._settlements = settlements
        self._numbers = itertools.count(1)

    def draw(
        self, organisation_id: str, tokens: float, others: list[str]
    ) -> list[ReservationPart]:
        """Draw tokens, as many as can be had in time.

        Args:
            organisation_id: The organisation.
            tokens: How many are missing.
            others: Instances that this one suggests itself.
        """
        ledger = self._ledger
        started_s = ledger.clock.monotonic_s()
        own = ledger.identity
        parts: list[ReservationPart] = []
        asked = {own.instance}
        queue = [ledger.pooling_instance(organisation_id), *others]
        near = set(ledger.homes(organisation_id, own.data_centre))
        remote = self._remote_homes(organisation_id)
        while tokens > LEAST_TOKENS and (queue or remote):
            peer = queue.pop(0) if queue else remote.pop(0)
            if peer in asked:
                continue
            asked.add(peer)
            timeout = self._time_left(started_s, peer in near)
            if timeout <= timedelta():
                continue
            reply = self._draw_from(peer, organisation_id, tokens, timeout, parts)
            if reply is None:
                continue
            tokens -= reply.tokens
            queue.extend(reply.others)
        return parts

    def _time_left(self, started_s: float, is_near: bool) -> timedelta:
        settings = self._ledger.settings
        limit = settings.draw_timeout if is_near else settings.remote_draw_timeout
        waited_s = self._ledger.clock.monotonic_s() - started_s
        return limit - timedelta(seconds=waited_s)

    def _remote_homes(self, organisation_id: str) -> list[str]:
        ledger = self._ledger
        centres = [
            centre.id
            for centre in ledger.config.data_centres()
            if centre.id != ledger.identity.data_centre
        ]
        homes: list[str] = []
        for centre in centres:
            homes += ledger.homes(organisation_id, centre)[:1]
            if len(homes) == REMOTE_HOMES:
                break
        return homes

    def _draw_from(
        self,
        peer: str,
        organisation_id: str,
        tokens: float,
        timeout: timedelta,
        parts: list[ReservationPart],
    ) -> DrawReply | None:
        number = next(self._numbers)
        request = DrawRequest(
            instance=self._ledger.identity.instance,
            incarnation=self._ledger.identity.incarnation,
            number=number,
            organisation=organisation_id,
            tokens=tokens,
        )
        try:
            reply = self._link.try_call(peer, "draw", request, timeout)
        except PeerTimeoutError:
            # The debit may have been made, and nothing was used of it.
            self._settlements.add(peer, number, 0.0)
            return None
        except PeerError:
            return None
        if reply is not None and reply.tokens > 0:
            part = self._part(peer, number, min(reply.tokens, tokens))
            parts.append(part)
        return reply

    def _part(self, peer: str, number: int, tokens: float) -> ReservationPart:
        def _settle(used: float) -> None:
            if used < tokens:
                self._settlements.add(peer, number, used)

        return ReservationPart(tokens=tokens, settle=_settle)
