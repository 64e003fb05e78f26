"""Sending and receiving announcements."""

import socket
import threading
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.errors import MalformedRequestError
from oriolepaddle.gossip.codec import read_announcement, write_announcement
from oriolepaddle.gossip.local import LocalState
from oriolepaddle.gossip.peer import GossipPeer
from oriolepaddle.gossip.region_loads import TYPICAL_PROMPT_TOKENS
from oriolepaddle.gossip.roster import Roster
from oriolepaddle.gossip.tokens import TokenExchange
from oriolepaddle.logs import log_event
from oriolepaddle.peers.gen_py.gossip.ttypes import (
    Announcement,
    CrashRecord,
    EndpointWork,
    PeerAddress,
    ServiceWait,
)
from oriolepaddle.placement import PeerLoad

__all__ = ["Announcer"]

INTERVAL = timedelta(milliseconds=250)
"""Between two datagrams to each peer."""
SILENT_INTERVAL_S = 1.0
"""Between two datagrams to a peer that does not answer."""
MAX_DATAGRAM_BYTES = 60_000
MAX_KNOWN_PEERS = 64
MICROSECONDS_PER_S = 1_000_000


class Announcer:
    """One thread sends to each peer in turn, another receives.

    Args:
        clock: The time.
        roster: The instances.
        state: What is announced.
        address: `host, port` to bind.
        seeds: Datagram addresses to begin with.
        secret: Shared by all instances.
        incarnation: This life of the instance.
        peer_address: Where this instance serves other instances.
        fetch_document: Called with the peer address of an instance that has a
            newer configuration.
    """

    def __init__(
        self,
        clock: Clock,
        roster: Roster,
        state: LocalState,
        address: tuple[str, int],
        seeds: tuple[tuple[str, int], ...],
        secret: bytes,
        incarnation: int,
        peer_address: str,
        fetch_document: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._roster = roster
        self._state = state
        self._seeds = tuple(seed for seed in seeds if seed != address)
        self._secret = secret
        self._incarnation = incarnation
        self._peer_address = peer_address
        self._fetch_document = fetch_document
        self._tokens = TokenExchange(state.limiter, roster)
        self._stopping = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._port = address[1]
        self._unreadable = 0

    def start(self) -> None:
        """Begin to send and receive."""
        for name, run in (("gossip-in", self._receive), ("gossip-out", self._send)):
            threading.Thread(target=run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Tell the others a last time and end."""
        if self._stopping.is_set():
            return
        self._send_round()
        self._stopping.set()
        # A datagram to itself wakes the receiving thread.
        self._socket.sendto(b"", self._socket.getsockname())

    def _send(self) -> None:
        while not self._stopping.is_set():
            self._send_round()
            self._clock.wait(self._stopping, INTERVAL)

    def _send_round(self) -> None:
        peers = self._roster.peers()
        now_s = self._clock.monotonic_s()
        common = self._compose(peers)
        known = {peer.gossip_address for peer in peers.values()}
        for peer in peers.values():
            is_silent = now_s - peer.heard_s > SILENT_INTERVAL_S
            if is_silent and now_s - peer.sent_s < SILENT_INTERVAL_S:
                continue
            peer.sent_s = now_s
            self._address(common, peer, now_s, is_silent)
            self._send_to(common, peer.gossip_address)
        common.echo_us = common.held_us = common.grants = None
        for seed in self._seeds:
            if seed not in known:
                self._send_to(common, seed)

    def _address(
        self, common: Announcement, peer: GossipPeer, composed_s: float, is_silent: bool
    ) -> None:
        heard = peer.announcement
        # Measured to a moment before the knowledge's age was read, so that a
        # pause since then cannot make the knowledge look fresher.
        held_s = composed_s - peer.heard_s
        is_later = held_s >= 0
        common.echo_us = heard.sent_at_us if is_later else None
        common.held_us = _to_us(held_s) if is_later else None
        common.grants = None if is_silent else self._tokens.give(heard)

    def _send_to(self, announcement: Announcement, address: tuple[str, int]) -> None:
        announcement.sent_at_us = _to_us(self._clock.monotonic_s())
        datagram = write_announcement(announcement, self._secret)
        try:
            self._socket.sendto(datagram, address)
        except OSError as error:
            log_event("datagram_not_sent", address=address[0], reason=str(error))

    def _compose(self, peers: dict[str, GossipPeer]) -> Announcement:
        state = self._state
        own = self._roster.own
        age_s = state.catalog.age_s()
        return Announcement(
            instance=own.id,
            incarnation=self._incarnation,
            data_centre=own.data_centre,
            caller_address=own.address,
            peer_address=self._peer_address,
            size_thousandths=int(own.size * 1000),
            is_ready=state.is_ready(),
            is_leaving=state.is_leaving(),
            sent_at_us=0,
            version=state.catalog.version,
            knowledge_age_us=None if age_s == float("inf") else _to_us(age_s),
            work=[
                EndpointWork(
                    name, load.running, load.prefill_tokens, load.memory_tokens
                )
                for name, load in state.placer.own_loads().items()
            ],
            waits=self._list_waits(),
            balances=self._tokens.balances(),
            crashes=[
                CrashRecord(name, sorted(lives))
                for name, lives in state.crashes.entries().items()
            ],
            peers=[
                PeerAddress(name, peer.gossip_address[0])
                for name, peer in list(peers.items())[:MAX_KNOWN_PEERS]
            ],
        )

    def _list_waits(self) -> list[ServiceWait]:
        document = self._state.catalog.document
        waits = []
        for name in document.services if document else ():
            wait_s = self._state.placer.estimate_s(name, TYPICAL_PROMPT_TOKENS)
            if wait_s is not None:
                waits.append(ServiceWait(name, int(wait_s * 1000)))
        return waits

    def _receive(self) -> None:
        while not self._stopping.is_set():
            try:
                datagram, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                if self._stopping.is_set():
                    break
                heard = read_announcement(datagram, self._secret)
            except MalformedRequestError as error:
                self._unreadable += 1
                log_event(
                    "datagram_unreadable", reason=error.message, count=self._unreadable
                )
                continue
            except OSError as error:
                log_event("datagram_not_received", reason=str(error))
                continue
            self._take(heard, address)
        self._socket.close()

    def _take(self, heard: Announcement, address: tuple[str, int]) -> None:
        roster = self._roster
        if heard.instance == roster.own.id or not roster.note(heard, address):
            return
        state = self._state
        self._tokens.receive(heard.grants or [])
        self._confirm(heard)
        state.crashes.merge(
            {item.fingerprint: frozenset(item.lives) for item in heard.crashes or ()}
        )
        own = roster.own
        if roster.region_of(heard.data_centre) == own.region:
            loads = {
                item.endpoint: PeerLoad(
                    item.running, item.prefill_tokens, item.memory_tokens
                )
                for item in heard.work or ()
            }
            state.placer.apply_peer(heard.instance, loads)
        self._greet(heard)

    def _confirm(self, heard: Announcement) -> None:
        catalog = self._state.catalog
        if heard.version > catalog.version:
            self._fetch_document(heard.peer_address)
            return
        if heard.echo_us is None or heard.knowledge_age_us is None:
            return
        # The peer sent this after it had this instance's datagram: a lower
        # bound of its sending time in this instance's own clock, which no
        # datagram that was held up can make too late.
        sent_us = heard.echo_us + heard.held_us
        confirmed_s = (sent_us - heard.knowledge_age_us) / MICROSECONDS_PER_S
        catalog.confirm_version(confirmed_s, heard.version)

    def _greet(self, heard: Announcement) -> None:
        known = self._roster.peers()
        for item in heard.peers or ():
            if item.instance not in known and item.instance != self._roster.own.id:
                announcement = self._compose(known)
                self._send_to(announcement, (item.address, self._port))


def _to_us(duration_s: float) -> int:
    return int(duration_s * MICROSECONDS_PER_S)
