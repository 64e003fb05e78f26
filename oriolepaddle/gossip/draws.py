"""Drawing tokens at a hub; a `TokenPool`."""

import itertools
import secrets
import threading
from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.config.model import Organisation
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.gossip.roster import Roster
from oriolepaddle.gossip.socket import Address, DatagramSocket
from oriolepaddle.limits import GrantingLimiter
from oriolepaddle.limits.pooled import UNREACHABLE_RETRY
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

    def is_own(self) -> bool:
        """Return whether this instance pools tokens; see `TokenPool`."""
        return self._roster.is_hub()

    def draw(self, organisation: str, tokens: float) -> timedelta | None:
        """Take tokens at a hub; see `TokenPool.draw`."""
        own = self._roster.own.id
        retry_after = None
        for hub in self._roster.hubs():
            if hub.id == own:
                retry_after = retry_after or timedelta(milliseconds=DEFAULT_RETRY_MS)
                continue
            reply = self._ask(hub.peer_address, organisation, tokens)
            if reply is None:
                continue
            if reply.tokens > 0:
                return None
            retry_after = timedelta(milliseconds=reply.retry_after_ms)
        if retry_after is None:
            raise RefusedError(
                "no instance that pools tokens answers",
                code=ErrorCode.NOT_READY,
                retry_after=UNREACHABLE_RETRY,
            )
        return retry_after

    def answer(self, draw: Draw, address: Address) -> None:
        """Give tokens to an instance that asks."""
        tokens, retry_ms = draw.tokens, 0
        organisation = self._find_organisation(draw.organisation)
        try:
            if organisation is None:
                raise RefusedError("no such organisation here")
            self._take(organisation, draw.tokens)
        except RefusedError as error:
            wait = error.retry_after or timedelta(milliseconds=DEFAULT_RETRY_MS)
            tokens, retry_ms = 0, int(wait.total_seconds() * 1000)
        self._send(Datagram(reply=DrawReply(draw.number, tokens, retry_ms)), address)

    def receive(self, reply: DrawReply) -> None:
        """Take in the answer to a draw; one that came too late is lost."""
        with self._lock:
            waiter = self._waiters.get(reply.number)
        if waiter is not None:
            waiter.reply = reply
            waiter.answered.set()

    def _take(self, organisation: Organisation, tokens: int) -> None:
        # What is given is gone from here, used or not.
        self._own.reserve(organisation, tokens).settle(tokens)

    def _ask(
        self, peer_address: str, organisation: str, tokens: float
    ) -> DrawReply | None:
        number = next(self._numbers)
        waiter = _Waiter(threading.Event())
        with self._lock:
            self._waiters[number] = waiter
        draw = Draw(number, organisation, int(tokens) + 1)
        host = peer_address.rpartition(":")[0]
        try:
            self._send(Datagram(draw=draw), (host, self._port))
            self._clock.wait(waiter.answered, DRAW_TIMEOUT)
            return waiter.reply
        finally:
            with self._lock:
                del self._waiters[number]

    def _send(self, datagram: Datagram, address: Address) -> None:
        if self.socket is not None:
            self.socket.send(datagram, address)
