"""Drawing tokens at a hub; a `TokenPool`."""

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
"""Several round trips inside a region; a lost reply loses its tokens."""
DEFAULT_RETRY_MS = 300
NUMBER_BITS = 62


@attrs.define
class _Waiter:
    answered: threading.Event
    reply: DrawReply | None = None


class TokenDraws:
    """Asks the hubs for tokens and answers those that ask here.

    Args:
        clock: The time.
        roster: The hubs.
        own: The tokens that are pooled here.
        find_organisation: Returns an organisation as configured now, or None.
        gossip_port: The port of all instances' datagrams.
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
        self._own = own
        self._find_organisation = find_organisation
        self._port = gossip_port
        # A late reply to an earlier life must match no draw of this one.
        self._numbers = itertools.count(secrets.randbits(NUMBER_BITS))
        self._lock = threading.Lock()
        self._waiters: dict[int, _Waiter] = {}
        self.socket: DatagramSocket | None = None

    def draw(self, organisation: str, tokens: float, available: float) -> DrawResult:
        """Take tokens at the hubs; see `TokenPool.draw`."""
        needed = math.ceil(tokens - available)
        own = self._roster.own.id
        hubs = [hub for hub in self._roster.hubs() if hub.id != own]
        refusals: list[tuple[RosterEntry, DrawReply]] = []
        for hub in hubs:
            reply = self._ask(hub, organisation, needed)
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
            reply = self._ask(hub, organisation, part) if part > 0 else None
            drawn += reply.tokens if reply is not None else 0
        return DrawResult(drawn, timedelta(milliseconds=DEFAULT_RETRY_MS))

    def answer(self, draw: Draw, address: Address) -> None:
        """Give tokens to an instance that asks."""
        organisation = self._find_organisation(draw.organisation)
        reply = DrawReply(draw.number, draw.tokens, 0, 0)
        try:
            if organisation is None:
                raise RefusedError("no such organisation here")
            # What is given is gone from here, used or not.
            self._own.reserve(organisation, draw.tokens).settle(draw.tokens)
        except RefusedError as error:
            wait = error.retry_after or timedelta(milliseconds=DEFAULT_RETRY_MS)
            held = self._own.available(organisation) if organisation else 0
            retry_ms = int(wait.total_seconds() * 1000)
            reply = DrawReply(draw.number, 0, retry_ms, int(held))
        self._send(Datagram(reply=reply), address)

    def receive(self, reply: DrawReply) -> None:
        """Take in the answer to a draw; one that came too late is lost."""
        with self._lock:
            waiter = self._waiters.get(reply.number)
        if waiter is not None:
            waiter.reply = reply
            waiter.answered.set()

    def _ask(
        self, hub: RosterEntry, organisation: str, tokens: int
    ) -> DrawReply | None:
        number = next(self._numbers)
        waiter = _Waiter(threading.Event())
        with self._lock:
            self._waiters[number] = waiter
        draw = Draw(number, organisation, tokens)
        try:
            self._send(Datagram(draw=draw), (hub.host, self._port))
            self._clock.wait(waiter.answered, DRAW_TIMEOUT)
            return waiter.reply
        finally:
            with self._lock:
                del self._waiters[number]

    def _send(self, datagram: Datagram, address: Address) -> None:
        if self.socket is not None:
            self.socket.send(datagram, address)
