"""The fleet as one instance sees it, kept by heartbeats."""

import random
import threading
from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.errors import PeerError
from oriolepaddle.membership._exchange import HeartbeatExchange
from oriolepaddle.membership.links import LinkChoice, choose_links
from oriolepaddle.membership.load import LoadBoard, LoadSummary
from oriolepaddle.membership.member import Member, MemberStatus
from oriolepaddle.membership.peer import Peer
from oriolepaddle.membership.runner import PeerRunner
from oriolepaddle.membership.suggestion import Suggestion, order_by_size
from oriolepaddle.membership.table import MemberTable
from oriolepaddle.membership.wire import MEMBERSHIP_SERVICE
from oriolepaddle.peers import PeerCaller, PeerIdentity
from oriolepaddle.peers.gen_py.membership.ttypes import Heartbeat
from oriolepaddle.platform import Instance, InstanceList, InstanceState

__all__ = ["ConfigDigest", "Membership"]

HEARTBEATS_PER_S = 6.0
MIN_INTERVAL_S = 1.0
MAX_INTERVAL_S = 5.0
INTERVALS_TO_TIMEOUT = 3
CALL_TIMEOUT = timedelta(seconds=1)
LINK_REFRESH_S = 1.0
LOOK_INTERVAL = timedelta(milliseconds=100)

ConfigDigest = Callable[[], tuple[int, int]]


class Membership:
    """Implements `MembershipView`. Thread-safe.

    Args:
        clock: The time.
        identity: This instance in its present life.
        instance: This instance's own addresses and size.
        caller: Calls peers; None until `connect`, because a `PeerPool` needs
            this object's addresses first.
        config_digest: Returns the digest of the configuration and the highest
            ticket number, which heartbeats carry.
        region_of: Maps a data centre to its region, or None if unknown.
        generator: Draws the order of suggestions.
        seeds: Instances known from the settings, for a start without the
            platform.
    """

    def __init__(
        self,
        clock: Clock,
        identity: PeerIdentity,
        instance: Instance,
        caller: PeerCaller | None,
        config_digest: ConfigDigest,
        region_of: Callable[[str], str | None],
        generator: random.Random,
        seeds: tuple[Instance, ...] = (),
    ) -> None:
        self._clock = clock
        self._identity = identity
        self._caller = caller
        self._region_of = region_of
        self._generator = generator
        self._lock = threading.RLock()
        own = Member(instance, identity.incarnation, 0.0)
        self._table = MemberTable(own, seeds)
        self._loads = LoadBoard(clock)
        self._exchange = HeartbeatExchange(
            clock, identity, self._table, self._loads, config_digest
        )
        self._peers: dict[str, Peer] = {}
        self._links = LinkChoice((), ())
        self._links_due_at_s = 0.0
        self._runner = PeerRunner(
            "membership", clock, self._due_peers, self._heartbeat, LOOK_INTERVAL
        )

    def connect(self, caller: PeerCaller) -> None:
        """Set the caller through which heartbeats go out."""
        self._caller = caller

    def start(self) -> None:
        """Heartbeat in the background until `stop`."""
        self._runner.start()

    def stop(self) -> None:
        """End the threads."""
        self._runner.stop()

    def tick(self) -> None:
        """Run the heartbeats that are due, on the calling thread."""
        self._runner.run_due()

    @property
    def identity(self) -> PeerIdentity:
        """This instance in its present life."""
        return self._identity

    def apply_list(self, instances: InstanceList) -> bool:
        """Take over a published list unless a later revision is held.

        Returns:
            Whether the list was taken over.
        """
        with self._lock:
            is_applied = self._table.apply_list(instances)
            if is_applied:
                self._links_due_at_s = 0.0
        return is_applied

    def begin_leaving(self) -> None:
        """Tell the peers at once that this instance is leaving."""
        with self._lock:
            own = self._table.own
            instance = attrs.evolve(own.instance, state=InstanceState.LEAVING)
            self._table.own = attrs.evolve(own, instance=instance)
            self._hasten()
        self._runner.wake()

    def set_ready(self, is_ready: bool) -> None:
        """Set whether callers may be sent to this instance."""
        with self._lock:
            self._exchange.is_ready = is_ready

    def published(self) -> InstanceList | None:
        """Return the last list read from the platform, or None before that."""
        return self._table.published

    def instance(self, instance: str) -> Instance | None:
        """Return an instance that is listed or known through peers, or None."""
        with self._lock:
            return self._table.instance(instance)

    def instances(self) -> tuple[Instance, ...]:
        """Return all known instances, this one included."""
        with self._lock:
            known = [self._table.instance(name) for name in self._table.names()]
        return tuple(sorted(filter(None, known), key=lambda instance: instance.id))

    def reachable(self) -> frozenset[str]:
        """Return the ids of the peers that answered a heartbeat lately."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            timeout_s = self._timeout_s()
            return frozenset(
                name
                for name, peer in self._peers.items()
                if peer.is_reachable(now_s, timeout_s)
            )

    def incarnation(self, instance: str) -> int | None:
        """Return the incarnation last heard of an instance, or None."""
        with self._lock:
            return self._table.incarnation(instance)

    def peer_address(self, instance: str) -> str | None:
        """Return `host:port` of an instance's peer listener, or None."""
        known = self.instance(instance)
        return None if known is None else known.peer_address

    def links(self) -> LinkChoice:
        """Return the peers that this instance heartbeats."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            if now_s >= self._links_due_at_s:
                self._refresh_links(now_s)
            return self._links

    def last_answer_s(self) -> float | None:
        """Return when the last answered heartbeat was sent, or None."""
        with self._lock:
            answers = [peer.asked_at_s for peer in self._peers.values()]
            return max((at_s for at_s in answers if at_s is not None), default=None)

    def neighbours(self) -> tuple[str, ...]:
        """Return the peers to spread news to: links, and those who link here."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            oldest_s = now_s - INTERVALS_TO_TIMEOUT * MAX_INTERVAL_S
            inbound = [
                name
                for name, peer in self._peers.items()
                if peer.heard_at_s is not None and peer.heard_at_s >= oldest_s
            ]
            return tuple(dict.fromkeys((*self.links().all, *inbound)))

    def config_digest(self, instance: str) -> tuple[int, int] | None:
        """Return digest and highest ticket number that a peer last told."""
        with self._lock:
            peer = self._peers.get(instance)
            if peer is None or peer.config_digest is None:
                return None
            return peer.config_digest, peer.highest_ticket

    def status(self, instance: str) -> MemberStatus | None:
        """Return how an instance stands, or None if it is unknown."""
        with self._lock:
            if self._table.instance(instance) is None:
                return None
            if self._table.is_leaving(instance):
                return MemberStatus.LEAVING
            if instance == self._identity.instance:
                return MemberStatus.REACHABLE
            return self._status_of_peer(self._peers.get(instance))

    def publish_load(self, summary: LoadSummary) -> None:
        """Spread a summary that this instance measured."""
        self._loads.put(summary, None)

    def load_summaries(self) -> tuple[LoadSummary, ...]:
        """Return the freshest summary of each data centre and route."""
        return self._loads.summaries()

    def suggest_instances(self, place: str | None, count: int) -> Suggestion:
        """Return entry instances for a caller, none leaving or unreachable.

        Args:
            place: A data centre or region, or None for anywhere.
            count: The most instances to return.
        """
        with self._lock:
            usable = [
                instance
                for instance in self.instances()
                if self._is_in(instance, place) and self._is_usable(instance)
            ]
            return Suggestion(order_by_size(usable, count, self._generator))

    def receive(self, request: Heartbeat) -> Heartbeat:
        """Answer a peer's heartbeat; calls no peer itself."""
        with self._lock:
            if not self._is_current(request):
                return self._refuse(request)
            now_s = self._clock.monotonic_s()
            peer = self._peer(request.instance)
            peer.heard_at_s = now_s
            # It can be reached again if it could not before: ask at once.
            if peer.failures:
                peer.due_at_s = now_s
            if self._exchange.absorb(peer, request):
                self._hasten()
            return self._exchange.compose(peer, self._mesh())

    @property
    def is_superseded(self) -> bool:
        """Whether a later life of this instance was heard of."""
        return self._table.is_superseded

    def _is_current(self, message: Heartbeat) -> bool:
        """Return whether a heartbeat is of another instance's latest life."""
        if message.instance == self._identity.instance:
            return False
        return message.incarnation >= (self._table.incarnation(message.instance) or 0)

    def _refuse(self, request: Heartbeat) -> Heartbeat:
        """Answer an earlier life, so that it learns of the later one."""
        if request.instance == self._identity.instance:
            self._table.is_superseded |= (
                request.incarnation > self._identity.incarnation
            )
        peer = Peer(request.instance, 0.0, incarnation=request.incarnation)
        return self._exchange.compose(peer, frozenset())

    def _due_peers(self) -> tuple[str, ...]:
        with self._lock:
            now_s = self._clock.monotonic_s()
            return tuple(
                name
                for name in self.links().all
                if self._peers[name].due_at_s <= now_s and not self._peers[name].is_busy
            )

    def _heartbeat(self, name: str) -> None:
        with self._lock:
            peer = self._peer(name)
            asked_at_s = self._clock.monotonic_s()
            peer.note_sent(asked_at_s)
            request = self._exchange.compose(peer, self._mesh())
        try:
            reply = self._caller.call(
                name, MEMBERSHIP_SERVICE, "exchange", request, CALL_TIMEOUT
            )
        except PeerError:
            reply = None
        with self._lock:
            self._note_reply(peer, asked_at_s, reply)

    def _note_reply(
        self, peer: Peer, asked_at_s: float, reply: Heartbeat | None
    ) -> None:
        now_s = self._clock.monotonic_s()
        is_answer = reply is not None and reply.instance == peer.name
        if not is_answer or not self._is_current(reply):
            peer.sent.clear()
            peer.note_failure(now_s, self._interval_s())
            return
        peer.note_answer(asked_at_s, asked_at_s + self._interval_s())
        if self._exchange.absorb(peer, reply):
            self._hasten()

    def _refresh_links(self, now_s: float) -> None:
        self._links_due_at_s = now_s + LINK_REFRESH_S
        self._table.expire(now_s)
        members: dict[str, list[str]] = {}
        for name in self._table.names():
            instance = self._table.instance(name)
            is_own = instance.data_centre == self._identity.data_centre
            # Inside the data centre a leaving instance still needs the news.
            if is_own or not self._table.is_leaving(name):
                members.setdefault(instance.data_centre, []).append(name)
        self._links = choose_links(
            self._identity.instance,
            self._identity.data_centre,
            members,
            self._region_of,
            lambda name: self._is_suspect(name, now_s),
        )
        for name in self._links.all:
            self._peer(name)
        self._forget_peers(now_s)

    def _forget_peers(self, now_s: float) -> None:
        kept = set(self._links.all)
        oldest_s = now_s - INTERVALS_TO_TIMEOUT * MAX_INTERVAL_S
        for name, peer in list(self._peers.items()):
            is_inbound = peer.heard_at_s is not None and peer.heard_at_s >= oldest_s
            if name not in kept and not is_inbound and not peer.is_busy:
                del self._peers[name]
                self._loads.forget(name)

    def _peer(self, name: str) -> Peer:
        peer = self._peers.get(name)
        if peer is None:
            peer = Peer(name=name, due_at_s=self._clock.monotonic_s())
            self._peers[name] = peer
        return peer

    def _hasten(self) -> None:
        """Make the next heartbeat to each peer that answers due at once."""
        now_s = self._clock.monotonic_s()
        for peer in self._peers.values():
            if peer.failures == 0:
                peer.due_at_s = now_s
        self._runner.wake()

    def _mesh(self) -> frozenset[str]:
        return frozenset(self._links.mesh)

    def _interval_s(self) -> float:
        interval_s = len(self._links.all) / HEARTBEATS_PER_S
        return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, interval_s))

    def _timeout_s(self) -> float:
        return INTERVALS_TO_TIMEOUT * self._interval_s()

    def _is_suspect(self, name: str, now_s: float) -> bool:
        peer = self._peers.get(name)
        return peer is not None and peer.is_suspect(now_s, self._timeout_s())

    def _status_of_peer(self, peer: Peer | None) -> MemberStatus:
        now_s = self._clock.monotonic_s()
        if peer is None or peer.name not in self._links.all:
            return MemberStatus.LISTED
        if peer.is_reachable(now_s, self._timeout_s()):
            return MemberStatus.REACHABLE
        is_untried = peer.asked_at_s is None and peer.failures < 2
        return MemberStatus.LISTED if is_untried else MemberStatus.VANISHED

    def _is_in(self, instance: Instance, place: str | None) -> bool:
        data_centre = instance.data_centre
        return place is None or place in (data_centre, self._region_of(data_centre))

    def _is_usable(self, instance: Instance) -> bool:
        if instance.id == self._identity.instance:
            return self._exchange.is_ready and not self._table.own.is_leaving
        peer = self._peers.get(instance.id)
        if peer is not None and not peer.is_ready:
            return False
        status = self.status(instance.id)
        return status in (MemberStatus.REACHABLE, MemberStatus.LISTED)
