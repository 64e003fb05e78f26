"""The peers that one instance exchanges heartbeats with, in either direction."""

from collections.abc import Callable, Iterator

from oriolepaddle.membership.links import LinkChoice, choose_links
from oriolepaddle.membership.load import LoadSummaryTable
from oriolepaddle.membership.member import MemberStatus
from oriolepaddle.membership.peer import Peer
from oriolepaddle.membership.table import MemberTable
from oriolepaddle.peers import PeerIdentity

__all__ = ["PeerTable"]

HEARTBEATS_PER_S = 5.0
MIN_INTERVAL_S = 1.0
MAX_INTERVAL_S = 5.0
INTERVALS_TO_TIMEOUT = 3
LINK_REFRESH_S = 1.0
INBOUND_TTL_S = INTERVALS_TO_TIMEOUT * MAX_INTERVAL_S


class PeerTable:
    """Peers by id. Not thread-safe; guarded by the lock of `Membership`.

    The rate of heartbeats is bounded, so their interval grows with the number
    of links.

    Args:
        identity: This instance and its incarnation.
        table: The known members of the fleet.
        loads: The load summaries, which forget what was sent to removed peers.
        region_of: Maps a data centre to its region, or None if unknown.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        table: MemberTable,
        loads: LoadSummaryTable,
        region_of: Callable[[str], str | None],
    ) -> None:
        self._identity = identity
        self._table = table
        self._loads = loads
        self._region_of = region_of
        self._peers: dict[str, Peer] = {}
        self._links = LinkChoice((), ())
        self._links_due_at_s = 0.0

    def expire_links(self) -> None:
        """Make the next call of `links` choose the links anew."""
        self._links_due_at_s = 0.0

    def links(self, now_s: float) -> LinkChoice:
        """Return the peers to which this instance sends heartbeats."""
        if now_s >= self._links_due_at_s:
            self._refresh_links(now_s)
        return self._links

    def get(self, name: str) -> Peer | None:
        """Return a peer, or None."""
        return self._peers.get(name)

    def add(self, name: str, now_s: float) -> Peer:
        """Return a peer, added if it is new."""
        if name not in self._peers:
            self._peers[name] = Peer(name=name, due_at_s=now_s)
        return self._peers[name]

    def due(self, now_s: float) -> Iterator[str]:
        """Iterate over the linked peers whose heartbeat is due."""
        for name in self.links(now_s).all:
            peer = self._peers[name]
            if peer.due_at_s <= now_s and not peer.is_heartbeat_in_flight:
                yield name

    def inbound(self, now_s: float) -> Iterator[str]:
        """Iterate over the peers that sent a heartbeat recently."""
        return (peer.name for peer in self._peers.values() if _is_inbound(peer, now_s))

    def reachable(self, now_s: float) -> frozenset[str]:
        """Return the peers that answered a heartbeat within the timeout."""
        timeout_s = self._timeout_s()
        return frozenset(
            name
            for name, peer in self._peers.items()
            if peer.is_reachable(now_s, timeout_s)
        )

    def last_answer_s(self) -> float | None:
        """Return when the last answered heartbeat was sent, or None."""
        sent_times_s = [peer.last_answered_sent_at_s for peer in self._peers.values()]
        return max((at_s for at_s in sent_times_s if at_s is not None), default=None)

    def status(self, name: str, now_s: float) -> MemberStatus:
        """Return the status of a peer that is not leaving."""
        peer = self._peers.get(name)
        if peer is None or name not in self._links.all:
            return MemberStatus.LISTED
        if peer.is_reachable(now_s, self._timeout_s()):
            return MemberStatus.REACHABLE
        is_untried = peer.last_answered_sent_at_s is None and peer.failures < 2
        return MemberStatus.LISTED if is_untried else MemberStatus.VANISHED

    def expedite(self, now_s: float) -> None:
        """Make the next heartbeat to each responsive peer due at once."""
        for peer in self._peers.values():
            if peer.failures == 0:
                peer.due_at_s = now_s

    def interval_s(self) -> float:
        """Return the seconds between two heartbeats to a peer."""
        interval_s = len(self._links.all) / HEARTBEATS_PER_S
        return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, interval_s))

    def _timeout_s(self) -> float:
        return INTERVALS_TO_TIMEOUT * self.interval_s()

    def _refresh_links(self, now_s: float) -> None:
        self._links_due_at_s = now_s + LINK_REFRESH_S
        self._table.expire(now_s)
        timeout_s = self._timeout_s()
        suspects = {
            name
            for name, peer in self._peers.items()
            if peer.is_suspect(now_s, timeout_s)
        }
        self._links = choose_links(
            self._identity.instance,
            self._identity.data_centre,
            self._group_members(),
            self._region_of,
            suspects.__contains__,
        )
        for name in self._links.all:
            self.add(name, now_s)
        self._forget(now_s)

    def _group_members(self) -> dict[str, list[str]]:
        members: dict[str, list[str]] = {}
        for name in self._table.names():
            data_centre = self._table.instance(name).data_centre
            is_own = data_centre == self._identity.data_centre
            # A leaving instance still needs updates from its own data centre.
            if is_own or not self._table.is_leaving(name):
                members.setdefault(data_centre, []).append(name)
        return members

    def _forget(self, now_s: float) -> None:
        linked = set(self._links.all)
        for name, peer in list(self._peers.items()):
            if (
                name in linked
                or peer.is_heartbeat_in_flight
                or _is_inbound(peer, now_s)
            ):
                continue
            del self._peers[name]
            self._loads.forget(name)


def _is_inbound(peer: Peer, now_s: float) -> bool:
    return (
        peer.last_received_at_s is not None
        and now_s - peer.last_received_at_s <= INBOUND_TTL_S
    )
