"""Draws of tokens from the buckets of hubs; a `TokenPool`."""

import itertools
import math
import secrets
import threading
from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.config.model import Organisation
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.gossip.entry import RosterEntry
from oriolepaddle.gossip.roster import Roster
from oriolepaddle.gossip.socket import Address, DatagramSocket
from oriolepaddle.limits import DrawResult, GrantingLimiter
from oriolepaddle.limits.pooled import UNREACHABLE_RETRY_AFTER
from oriolepaddle.peers.gen_py.gossip.ttypes import Datagram, Draw, DrawReply

__all__ = ["TokenDraws"]

DRAW_TIMEOUT = timedelta(milliseconds=60)
"""Several round trips inside a region. The tokens of a lost reply are lost."""
DEFAULT_RETRY_MS = 300
DRAW_NUMBER_BITS = 62


@attrs.define
class _PendingDraw:
    answered: threading.Event
    reply: DrawReply | None = None


class TokenDraws:
    """Requests tokens from the hubs and answers other instances' draws.

    Args:
        clock: The time.
        roster: Provides the hubs.
        own: The limiter with the tokens that are pooled here.
        find_organisation: Returns an organisation as configured now, or None.
        gossip_port: The UDP port that all instances use.
    """

    def __init__(
        self,
        clock: Clock,
        roster: Roster,
        own: GrantingLimiter,
        find_organisation: Callable[[str], Organisation | None],
        gossip_port: int,
    ) -> None:
        self._clock = clock
        self._roster = roster
        self._own_limiter = own
        self._find_organisation = find_organisation
        self._port = gossip_port
        # A late reply to an earlier incarnation must not match a draw of this one.
        self._numbers = itertools.count(secrets.randbits(DRAW_NUMBER_BITS))
        self._lock = threading.Lock()
        self._pending_draws: dict[int, _PendingDraw] = {}
        self.socket: DatagramSocket | None = None

    def draw(self, organisation: str, tokens: float, available: float) -> DrawResult:
        """Draw tokens from the hubs; see `TokenPool.draw`."""
        needed = math.ceil(tokens - available)
        own = self._roster.own.id
        hubs = [hub for hub in self._roster.hubs() if hub.id != own]
        refusals: list[tuple[RosterEntry, DrawReply]] = []
        for hub in hubs:
            reply = self._request_tokens(hub, organisation, needed)
            if reply is None:
                continue
            if reply.tokens > 0:
                return DrawResult(reply.tokens)
            refusals.append((hub, reply))
        if hubs and not refusals:
            raise RefusedError(
                "no instance that pools tokens answers",
                code=ErrorCode.NOT_READY,
                retry_after=UNREACHABLE_RETRY_AFTER,
            )
        if sum(reply.available for _, reply in refusals) >= needed:
            return self._draw_parts(refusals, organisation, needed)
        waits_ms = [reply.retry_after_ms for _, reply in refusals]
        wait_ms = min(waits_ms, default=DEFAULT_RETRY_MS)
        return DrawResult(0, timedelta(milliseconds=wait_ms))

    def _draw_parts(
        self,
        refusals: list[tuple[RosterEntry, DrawReply]],
        organisation: str,
        needed: int,
    ) -> DrawResult:
        drawn = 0
        for hub, refusal in refusals:
            part = min(refusal.available, needed - drawn)
            reply = self._request_tokens(hub, organisation, part) if part > 0 else None
            drawn += reply.tokens if reply is not None else 0
        return DrawResult(drawn, timedelta(milliseconds=DEFAULT_RETRY_MS))

    def answer(self, draw: Draw, address: Address) -> None:
        """Reply to another instance's draw with tokens or a refusal."""
        organisation = self._find_organisation(draw.organisation)
        reply = DrawReply(draw.number, draw.tokens, 0, 0)
        try:
            if organisation is None:
                raise RefusedError("organisation is not configured")
            # Tokens sent are debited here whether or not they are used.
            self._own_limiter.reserve(organisation, draw.tokens).settle(draw.tokens)
        except RefusedError as error:
            wait = error.retry_after or timedelta(milliseconds=DEFAULT_RETRY_MS)
            available = self._own_limiter.available(organisation) if organisation else 0
            retry_ms = int(wait.total_seconds() * 1000)
            reply = DrawReply(draw.number, 0, retry_ms, int(available))
        self._send(Datagram(reply=reply), address)

    def receive(self, reply: DrawReply) -> None:
        """Accept the reply to a draw; a late reply is dropped with its tokens."""
        with self._lock:
            pending = self._pending_draws.get(reply.number)
        if pending is not None:
            pending.reply = reply
            pending.answered.set()

    def _request_tokens(
        self, hub: RosterEntry, organisation: str, tokens: int
    ) -> DrawReply | None:
        number = next(self._numbers)
        pending = _PendingDraw(threading.Event())
        with self._lock:
            self._pending_draws[number] = pending
        draw = Draw(number, organisation, tokens)
        try:
            self._send(Datagram(draw=draw), (hub.host, self._port))
            self._clock.wait(pending.answered, DRAW_TIMEOUT)
            return pending.reply
        finally:
            with self._lock:
                del self._pending_draws[number]

    def _send(self, datagram: Datagram, address: Address) -> None:
        if self.socket is not None:
            self.socket.send(datagram, address)
