"""Composition of heartbeats and merging of their contents."""

from collections.abc import Callable

from oriolepaddle.clock import Clock
from oriolepaddle.membership.load import LoadSummaryTable
from oriolepaddle.membership.member import Member
from oriolepaddle.membership.peer import Peer, SentRecord
from oriolepaddle.membership.table import MEMBER_RECORD_TTL_S, MemberTable
from oriolepaddle.membership.wire import (
    read_load,
    read_member,
    write_load,
    write_member,
)
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.peers.gen_py.membership.ttypes import Heartbeat

__all__ = ["HeartbeatExchange"]

MAX_MEMBERS = 8
MAX_LOADS = 4
MEMBER_REFRESH_S = 60.0


class HeartbeatExchange:
    """Composes this instance's heartbeats and applies those of its peers.

    Not thread-safe; guarded by the lock of `Membership`.

    Args:
        clock: The time.
        identity: This instance and its incarnation.
        table: The known members of the fleet.
        loads: The load summaries.
        config_digest: Returns the configuration's digest and highest ticket.
    """

    def __init__(
        self,
        clock: Clock,
        identity: PeerIdentity,
        table: MemberTable,
        loads: LoadSummaryTable,
        config_digest: Callable[[], tuple[int, int]],
    ) -> None:
        self._clock = clock
        self._identity = identity
        self._table = table
        self._loads = loads
        self._config_digest = config_digest
        self.is_ready = False

    def compose(self, peer: Peer, mesh: frozenset[str]) -> Heartbeat:
        """Compose a heartbeat, or the reply to one, for a peer.

        Args:
            peer: The peer.
            mesh: The peers in this data centre, which receive each other's
                load summaries directly.
        """
        digest, highest = self._config_digest()
        skipped = mesh if peer.name in mesh else frozenset()
        loads = self._loads.choose(peer.name, skipped, MAX_LOADS)
        return Heartbeat(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            is_leaving=self._table.own.is_leaving,
            config_digest=_to_signed(digest),
            highest_ticket=highest,
            members=self._choose_members(peer) or None,
            loads=[write_load(load) for load in loads] or None,
            is_ready=self.is_ready,
        )

    def apply(self, peer: Peer, message: Heartbeat) -> bool:
        """Apply a heartbeat or reply; return whether an instance is newly leaving."""
        now_s = self._clock.monotonic_s()
        if peer.incarnation != message.incarnation:
            peer.incarnation = message.incarnation
            peer.sent_records.clear()
            self._loads.forget(peer.name)
        peer.is_ready = message.is_ready
        peer.config_digest = message.config_digest % 2**64
        peer.highest_ticket = message.highest_ticket
        is_newly_leaving = False
        for record in message.members or ():
            is_newly_leaving |= self._apply_member(read_member(record, now_s), now_s)
        is_changed = self._table.touch(
            peer.name, message.incarnation, message.is_leaving, now_s
        )
        is_newly_leaving |= is_changed and message.is_leaving
        for record in message.loads or ():
            self._loads.put(read_load(record), peer.name)
        return is_newly_leaving

    def _apply_member(self, member: Member, now_s: float) -> bool:
        if now_s - member.last_seen_s > MEMBER_RECORD_TTL_S:
            return False
        return self._table.merge(member) and member.is_leaving

    def _choose_members(self, peer: Peer) -> list:
        now_s = self._clock.monotonic_s()
        chosen = []
        for member in self._table.members():
            name = member.instance.id
            if self._is_known_to(peer, member) or not self._table.should_relay(member):
                continue
            last_sent = peer.sent_records.get(name)
            if last_sent is not None and not self._should_resend(
                last_sent, member, now_s
            ):
                continue
            chosen.append(write_member(self._refresh_own(member, now_s), now_s))
            peer.sent_records[name] = SentRecord(
                member.incarnation, member.is_leaving, now_s
            )
            if len(chosen) == MAX_MEMBERS:
                break
        return chosen

    def _should_resend(
        self, last_sent: SentRecord, member: Member, now_s: float
    ) -> bool:
        if last_sent.incarnation != member.incarnation:
            return True
        if last_sent.is_leaving != member.is_leaving:
            return True
        # Repeated because a reply may be lost, and so that an unlisted instance
        # is not forgotten while it is still seen.
        is_old = now_s - last_sent.sent_at_s >= MEMBER_REFRESH_S
        return is_old and not self._is_settled(member)

    def _is_known_to(self, peer: Peer, member: Member) -> bool:
        """Return whether the member is the peer itself, in a known incarnation."""
        is_peer = member.instance.id == peer.name
        return is_peer and member.incarnation <= (peer.incarnation or 0)

    def _is_settled(self, member: Member) -> bool:
        return self._table.is_listed(member.instance.id) and not member.is_leaving

    def _refresh_own(self, member: Member, now_s: float) -> Member:
        if member is not self._table.own:
            return member
        return Member(member.instance, member.incarnation, now_s)


def _to_signed(number: int) -> int:
    return number - 2**64 if number >= 2**63 else number
