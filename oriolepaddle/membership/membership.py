"""One instance's view of the fleet, maintained by heartbeats."""

import random
import threading
from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.errors import PeerError
from oriolepaddle.membership._exchange import HeartbeatExchange
from oriolepaddle.membership.links import LinkChoice
from oriolepaddle.membership.load import LoadSummary, LoadSummaryTable
from oriolepaddle.membership.member import Member, MemberStatus
from oriolepaddle.membership.peer import Peer
from oriolepaddle.membership.peer_table import PeerTable
from oriolepaddle.membership.regions import Regions
from oriolepaddle.membership.runner import PeerRunner
from oriolepaddle.membership.suggestion import Suggestion, order_by_size
from oriolepaddle.membership.table import MemberTable
from oriolepaddle.membership.wire import MEMBERSHIP_SERVICE
from oriolepaddle.peers import PeerCaller, PeerIdentity
from oriolepaddle.peers.gen_py.membership.ttypes import Heartbeat
from oriolepaddle.publication import Instance, InstanceList, InstanceState

__all__ = ["ConfigDigest", "Membership"]

CALL_TIMEOUT = timedelta(seconds=1)
POLL_INTERVAL = timedelta(milliseconds=100)

ConfigDigest = Callable[[], tuple[int, int]]


class Membership:
    """The `MembershipView` of one instance, and its heartbeats. Thread-safe.

    Args:
        clock: The time.
        identity: This instance and its incarnation.
        instance: This instance's own addresses and size.
        caller: Calls peers; None until `connect`, because the `PeerPool` needs
            this object to resolve addresses.
        config_digest: Returns the digest of the configuration and the highest
            ticket number, which heartbeats carry.
        region_of: Maps a data centre to its region, or None if unknown.
        generator: Randomises the order of suggestions.
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
        self._regions = Regions(identity.data_centre, region_of)
        self._generator = generator
        self._lock = threading.RLock()
        own = Member(instance, identity.incarnation, 0.0)
        self._table = MemberTable(own, seeds)
        self._loads = LoadSummaryTable(clock, self._regions.is_near)
        self._exchange = HeartbeatExchange(
            clock, identity, self._table, self._loads, config_digest
        )
        self._peers = PeerTable(identity, self._table, self._loads, region_of)
        self._runner = PeerRunner(
            "membership", clock, self._due_peers, self._heartbeat, POLL_INTERVAL
        )

    def connect(self, caller: PeerCaller) -> None:
        """Set the caller that sends the heartbeats."""
        self._caller = caller

    def start(self) -> None:
        """Send heartbeats in the background until `stop`."""
        self._runner.start()

    def stop(self) -> None:
        """Stop the threads."""
        self._runner.stop()

    def tick(self) -> None:
        """Send the heartbeats that are due, on the calling thread."""
        self._runner.run_due()

    @property
    def identity(self) -> PeerIdentity:
        """This instance and its incarnation."""
        return self._identity

    @property
    def is_superseded(self) -> bool:
        """Whether a later incarnation of this instance is known."""
        return self._table.is_superseded

    def apply_list(self, instances: InstanceList) -> bool:
        """Apply a published list unless a later revision was applied.

        Returns:
            Whether the list was applied.
        """
        with self._lock:
            is_applied = self._table.apply_list(instances)
            if is_applied:
                self._peers.expire_links()
        return is_applied

    def begin_leaving(self) -> None:
        """Announce to the peers without delay that this instance is leaving."""
        with self._lock:
            own = self._table.own
            instance = attrs.evolve(own.instance, state=InstanceState.LEAVING)
            self._table.own = attrs.evolve(own, instance=instance)
            self._expedite_heartbeats()
        self._runner.wake()

    def set_ready(self, is_ready: bool) -> None:
        """Set whether this instance accepts requests from callers."""
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
        """Return the ids of the peers that answered a heartbeat recently."""
        with self._lock:
            return self._peers.reachable(self._clock.monotonic_s())

    def incarnation(self, instance: str) -> int | None:
        """Return the latest known incarnation of an instance, or None."""
        with self._lock:
            return self._table.incarnation(instance)

    def peer_address(self, instance: str) -> str | None:
        """Return `host:port` of an instance's peer listener, or None."""
        known = self.instance(instance)
        return None if known is None else known.peer_address

    def links(self) -> LinkChoice:
        """Return the peers to which this instance sends heartbeats."""
        with self._lock:
            return self._peers.links(self._clock.monotonic_s())

    def last_answer_s(self) -> float | None:
        """Return when the last answered heartbeat was sent, or None."""
        with self._lock:
            return self._peers.last_answer_s()

    def neighbours(self) -> tuple[str, ...]:
        """Return the peers to spread updates to: those linked in either direction."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            links = self._peers.links(now_s).all
            return tuple(dict.fromkeys((*links, *self._peers.inbound(now_s))))

    def config_digest(self, instance: str) -> tuple[int, int] | None:
        """Return the digest and highest ticket number that a peer last reported."""
        with self._lock:
            peer = self._peers.get(instance)
            if peer is None or peer.config_digest is None:
                return None
            return peer.config_digest, peer.highest_ticket

    def status(self, instance: str) -> MemberStatus | None:
        """Return the status of an instance, or None if it is unknown."""
        with self._lock:
            if self._table.instance(instance) is None:
                return None
            if self._table.is_leaving(instance):
                return MemberStatus.LEAVING
            if instance == self._identity.instance:
                return MemberStatus.REACHABLE
            return self._peers.status(instance, self._clock.monotonic_s())

    def publish_load(self, summary: LoadSummary) -> None:
        """Publish a load summary measured by this instance."""
        self._loads.put(summary, None)

    def load_summaries(self) -> tuple[LoadSummary, ...]:
        """Return the freshest summary of each data centre and route."""
        return self._loads.summaries()

    def suggest_instances(self, place: str | None, count: int) -> Suggestion:
        """Return entry instances for a caller, without leaving or unreachable ones.

        Args:
            place: A data centre or region, or None for anywhere.
            count: The maximum number of instances.
        """
        with self._lock:
            usable = [
                instance
                for instance in self.instances()
                if self._regions.is_in(instance.data_centre, place)
                and self._is_usable(instance)
            ]
            return Suggestion(order_by_size(usable, count, self._generator))

    def receive(self, request: Heartbeat) -> Heartbeat:
        """Reply to a peer's heartbeat without calling any peer."""
        with self._lock:
            if not self._is_current(request):
                return self._reply_to_stale(request)
            now_s = self._clock.monotonic_s()
            peer = self._peers.add(request.instance, now_s)
            peer.last_received_at_s = now_s
            # An unresponsive peer may be reachable again: send a heartbeat at once.
            if peer.failures:
                peer.due_at_s = now_s
            if self._exchange.apply(peer, request):
                self._expedite_heartbeats()
            return self._exchange.compose(peer, self._mesh())

    def _is_current(self, message: Heartbeat) -> bool:
        """Return whether a heartbeat is from another instance's latest incarnation."""
        if message.instance == self._identity.instance:
            return False
        return message.incarnation >= (self._table.incarnation(message.instance) or 0)

    def _reply_to_stale(self, request: Heartbeat) -> Heartbeat:
        """Reply to an earlier incarnation, so that it learns of the later one."""
        if request.instance == self._identity.instance:
            self._table.is_superseded |= (
                request.incarnation > self._identity.incarnation
            )
        peer = Peer(request.instance, 0.0, incarnation=request.incarnation)
        return self._exchange.compose(peer, frozenset())

    def _due_peers(self) -> tuple[str, ...]:
        with self._lock:
            return tuple(self._peers.due(self._clock.monotonic_s()))

    def _heartbeat(self, name: str) -> None:
        with self._lock:
            sent_at_s = self._clock.monotonic_s()
            peer = self._peers.add(name, sent_at_s)
            peer.record_sent(sent_at_s)
            request = self._exchange.compose(peer, self._mesh())
        try:
            reply = self._caller.call(
                name, MEMBERSHIP_SERVICE, "exchange", request, CALL_TIMEOUT
            )
        except PeerError:
            reply = None
        with self._lock:
            self._record_reply(peer, sent_at_s, reply)

    def _record_reply(
        self, peer: Peer, sent_at_s: float, reply: Heartbeat | None
    ) -> None:
        now_s = self._clock.monotonic_s()
        is_from_peer = reply is not None and reply.instance == peer.name
        if not is_from_peer or not self._is_current(reply):
            peer.sent_records.clear()
            peer.record_failure(now_s, self._peers.interval_s())
            return
        peer.record_reply(sent_at_s, sent_at_s + self._peers.interval_s())
        if self._exchange.apply(peer, reply):
            self._expedite_heartbeats()

    def _expedite_heartbeats(self) -> None:
        self._peers.expedite(self._clock.monotonic_s())
        self._runner.wake()

    def _mesh(self) -> frozenset[str]:
        return frozenset(self.links().mesh)

    def _is_usable(self, instance: Instance) -> bool:
        if instance.id == self._identity.instance:
            return self._exchange.is_ready and not self._table.own.is_leaving
        peer = self._peers.get(instance.id)
        if peer is not None and not peer.is_ready:
            return False
        status = self.status(instance.id)
        return status in (MemberStatus.REACHABLE, MemberStatus.LISTED)
