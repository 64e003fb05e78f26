"""Draws tokens from other instances for one request."""

import itertools
from datetime import timedelta

from oriolepaddle.errors import PeerError, PeerTimeoutError
from oriolepaddle.limits.link import LimitsLink
from oriolepaddle.limits.reservation import ReservationPart
from oriolepaddle.limits.settlements import Settlements
from oriolepaddle.limits.state import LimiterState
from oriolepaddle.peers.gen_py.limits.ttypes import DrawReply, DrawRequest

__all__ = ["MIN_TOKENS", "TokenDrawer"]

MAX_REMOTE_DATA_CENTRES = 3
# Tolerance for rounding errors in the sum of a reservation's parts.
MIN_TOKENS = 1e-6


class TokenDrawer:
    """Draws tokens from the pooling instance and from the peers that it suggests.

    Args:
        state: This instance's accounts and claims.
        link: Sends requests to peers.
        settlements: Returns unused tokens to the peers.
    """

    def __init__(
        self, state: LimiterState, link: LimitsLink, settlements: Settlements
    ) -> None:
        self._state = state
        self._link = link
        self._settlements = settlements
        self._numbers = itertools.count(1)

    def draw(
        self, organisation_id: str, tokens: float, suggested_peers: list[str]
    ) -> list[ReservationPart]:
        """Draw as many of the tokens as peers grant before the timeouts.

        Args:
            organisation_id: The organisation.
            tokens: The number of missing tokens.
            suggested_peers: Peers that may have tokens, by this instance's own state.
        """
        state = self._state
        started_s = state.clock.monotonic_s()
        own = state.identity
        parts: list[ReservationPart] = []
        queried = {own.instance}
        queue = [state.pooling_instance(organisation_id), *suggested_peers]
        local_instances = set(
            state.rank_pooling_instances(organisation_id, own.data_centre)
        )
        remote = self._remote_pooling_instances(organisation_id)
        while tokens > MIN_TOKENS and (queue or remote):
            peer = queue.pop(0) if queue else remote.pop(0)
            if peer in queried:
                continue
            queried.add(peer)
            timeout = self._remaining_time(started_s, peer in local_instances)
            if timeout <= timedelta():
                continue
            reply = self._draw_from(peer, organisation_id, tokens, timeout, parts)
            if reply is None:
                continue
            tokens -= reply.tokens
            queue.extend(reply.others)
        return parts

    def _remaining_time(self, started_s: float, is_local: bool) -> timedelta:
        settings = self._state.settings
        limit = settings.draw_timeout if is_local else settings.remote_draw_timeout
        elapsed_s = self._state.clock.monotonic_s() - started_s
        return limit - timedelta(seconds=elapsed_s)

    def _remote_pooling_instances(self, organisation_id: str) -> list[str]:
        state = self._state
        centres = [
            centre.id
            for centre in state.config.data_centres()
            if centre.id != state.identity.data_centre
        ]
        instances: list[str] = []
        for centre in centres:
            instances += state.rank_pooling_instances(organisation_id, centre)[:1]
            if len(instances) == MAX_REMOTE_DATA_CENTRES:
                break
        return instances

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
            instance=self._state.identity.instance,
            incarnation=self._state.identity.incarnation,
            number=number,
            organisation=organisation_id,
            tokens=tokens,
        )
        try:
            reply = self._link.try_call(peer, "draw", request, timeout)
        except PeerTimeoutError:
            # The peer may have made the debit; none of its tokens are used.
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
