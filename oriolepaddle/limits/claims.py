"""The claims of a data centre's instances on its share."""

from collections.abc import Iterable

from oriolepaddle.limits.claim import OwnClaim
from oriolepaddle.limits.claim_epoch import UNKNOWN_LIFE, Life
from oriolepaddle.limits.ended_epochs import EndedLives
from oriolepaddle.limits.instance_list import Listing
from oriolepaddle.limits.member import Member
from oriolepaddle.limits.settings import LimitSettings
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.peers.gen_py.limits.ttypes import (
    LeaveRequest,
    MemberState,
    RenewReply,
    RenewRequest,
)
from oriolepaddle.publication import InstanceList

__all__ = ["ClaimBook"]

SETTLED_CLAIM = 1e-9
NO_END_S = float("inf")


class ClaimBook:
    """The part of the data centre's share that this instance may mint.

    A claim grows only to what every other member has reserved for it, and a
    member reserves only what neither it nor any other member it knows of may
    hold. So the claims of all instances add up to 1 at most, whatever lists
    and messages reach them. Not thread-safe: the limiter holds its lock.

    Args:
        identity: This instance in its present life.
        settings: The limiter's settings.
    """

    def __init__(self, identity: PeerIdentity, settings: LimitSettings) -> None:
        self._identity = identity
        self._settings = settings
        self.members: dict[str, Member] = {}
        self.is_warm = False
        self.is_draining = False
        self.is_leaving = False
        self._own = OwnClaim(settings.lent_s)
        self._listing = Listing(identity, settings.max_list_age)
        self._freed: list[tuple[float, float]] = []
        self._life = Life(identity.incarnation)
        self._ended = EndedLives()
        self._sequence = 0

    @property
    def claim(self) -> float:
        """The part of the data centre's share that is minted here, from 0 to 1."""
        return self._own.claim

    @property
    def _loan_end_s(self) -> float:
        """Seconds until the loans of an ended life have run out."""
        drift = self._settings.max_clock_drift
        return self._settings.lent_s * (1 + 3 * drift)

    @property
    def target(self) -> float:
        """The claim that is due to this instance, from 0 to 1."""
        if self.is_leaving:
            return 0.0
        return 1.0 / (1 + len(self.members))

    def held(self, now_s: float) -> float:
        """Return the claim with what loans made before it lapsed may still use."""
        return self._own.held(now_s)

    def lapse_s(self) -> float:
        """Return when this instance must stop minting, or infinity."""
        if not self.members:
            return NO_END_S
        vouched = min(
            max(member.known_s, member.answered_s or 0.0)
            for member in self.members.values()
        )
        return (
            max(vouched, self._listing.named_s)
            + self._settings.mint_lease.total_seconds()
        )

    def note_list(self, published: InstanceList) -> None:
        """Take in a list; repeated readings of one list are welcome."""
        change = self._listing.note(published)
        if change is None:
            return
        for name in change.present:
            self._note_listed(name, change.asked_s)
        for name, member in self.members.items():
            is_first = change.is_gap or member.absent_s is None
            if name not in change.present and is_first:
                member.absent_s = change.asked_s

    def is_list_fresh(self, now_s: float) -> bool:
        """Return whether the newest list is fresh and names this instance."""
        return self._listing.is_fresh(now_s)

    def prepare(self, name: str, tables: Iterable[int], now_s: float) -> RenewRequest:
        """Return the renewal to send to a member."""
        member = self.members[name]
        held = self.held(now_s)
        wanted = max(held, self.target)
        self._sequence += 1
        member.sent = self._sequence
        # The member may lower what it reserves to what is wanted now.
        member.granted = min(member.granted, wanted)
        return RenewRequest(
            instance=self._identity.instance,
            life=self._life.write(),
            data_centre=self._identity.data_centre,
            sequence=member.sent,
            held=held,
            wanted=wanted,
            tables=sorted(tables),
            is_warm=self.is_warm,
            is_draining=self.is_draining,
        )

    def accept(
        self, name: str, request: RenewRequest, reply: RenewReply, asked_s: float
    ) -> None:
        """Take in a member's answer to `request`, sent at `asked_s`."""
        member = self.members.get(name)
        if member is None or not reply.accepted or request.sequence != member.sent:
            return
        life = Life.read(reply.life)
        if life < member.life:
            return
        self._note_life(member, life, asked_s)
        member.is_known_there = True
        for state in reply.members:
            self._note_member(state, asked_s)
        for state in reply.ended:
            self.end(state.instance, Life.read(state.life), asked_s)
        member.granted = reply.granted
        member.reserved = max(member.reserved, reply.held)
        member.is_warm = reply.is_warm
        member.holds_loans = reply.holds_loans
        member.answered_s = asked_s
        member.tables = frozenset(reply.tables)

    def handle(
        self, request: RenewRequest, tables: frozenset[int], now_s: float
    ) -> RenewReply:
        """Answer a member's renewal and reserve what it may hold."""
        member = self._caller(request, now_s)
        if member is None:
            return self._reply(request, 0.0, tables, now_s, accepted=False)
        member.received = request.sequence
        member.vouched_s = now_s
        member.is_draining = request.is_draining
        member.tables = frozenset(request.tables)
        self.shrink(now_s)
        room = 0.0
        # While weights change, nobody grows.
        if member.tables == tables and len(tables) == 1:
            room = max(0.0, self.free(now_s))
        granted = min(request.wanted, member.reserved + room)
        member.reserved = max(request.held, granted)
        return self._reply(request, member.reserved, tables, now_s, accepted=True)

    def free(self, now_s: float) -> float:
        """Return the part of the share that nobody may hold."""
        self._freed = [pair for pair in self._freed if pair[0] > now_s]
        reserved = sum(member.reserved for member in self.members.values())
        freed = sum(part for _, part in self._freed)
        return 1.0 - self.held(now_s) - reserved - freed

    def end(self, name: str, life: Life, now_s: float) -> None:
        """Note that a life of a member is over; its loans run out first."""
        if name == self._identity.instance:
            return
        self._ended.add(name, life, now_s)
        member = self.members.get(name)
        if member is None or member.life > life:
            return
        self._free_later(member, now_s)
        del self.members[name]

    def leave_request(self) -> LeaveRequest:
        """Return the message by which this instance hands its claim over."""
        return LeaveRequest(
            instance=self._identity.instance,
            life=self._life.write(),
            data_centre=self._identity.data_centre,
            members=self._member_states(self._identity.instance),
        )

    def handle_leave(self, request: LeaveRequest, now_s: float) -> None:
        """Take in the hand-over of a leaving member."""
        for state in request.members:
            self._note_member(state, now_s)
        self.end(request.instance, Life.read(request.life), now_s)

    @property
    def is_settled(self) -> bool:
        """Whether the claim is what is due and no member waits for it."""
        is_due = abs(self.claim - self.target) < SETTLED_CLAIM
        return (
            self.is_warm
            and is_due
            and not self._own.is_shrinking
            and not self.is_draining
        )

    @property
    def lent_claim(self) -> float:
        """The part of the claim out of which loans may be made and renewed."""
        return self._own.lent_claim

    def shrink(self, now_s: float) -> None:
        """Lower the claim to what is due, once loans out of it have run out."""
        self._own.shrink(self.target, now_s)

    def give_up(self, now_s: float) -> None:
        """Stop minting at once; the loans made before run out."""
        self._own.give_up(now_s)

    def grow(self, now_s: float) -> None:
        """Raise the claim to what all members have reserved."""
        if not self.is_warm or self.is_leaving or self._own.is_shrinking:
            return
        if any(member.answered_s is None for member in self.members.values()):
            return
        grants = [member.granted for member in self.members.values()]
        allowed = self.claim + max(0.0, self.free(now_s))
        self._own.grow(min([self.target, allowed, *grants]))

    def lapse(self, now_s: float) -> None:
        """Give the claim up after the mint lease has run out."""
        self.give_up(now_s)
        self.is_warm = False
        self._life = Life(self._life.incarnation, self._life.lapses + 1)
        for member in self.members.values():
            member.answered_s = None
            member.is_warm = False
            member.is_known_there = False

    def release_vanished(self, now_s: float) -> None:
        """Drop members that have surely stopped minting."""
        wait_s = self._settings.release_s
        self._ended.forget(now_s - wait_s, self._listing.present)
        if not self.is_list_fresh(now_s):
            return
        for name, member in list(self.members.items()):
            if member.absent_s is None or not member.is_known_there:
                continue
            if now_s - max(member.absent_s, member.vouched_s) > wait_s:
                self._ended.add(name, member.life, now_s)
                del self.members[name]

    def join(self, now_s: float) -> None:
        """Count as warm once all known members answered, one of them warm."""
        members = self.members.values()
        has_all = all(member.answered_s is not None for member in members)
        if not has_all or not any(member.is_warm for member in members):
            return
        if self.is_list_fresh(now_s):
            self.is_warm = True

    def start(self, now_s: float, has_loans: bool) -> None:
        """Count as warm without an elder.

        Args:
            now_s: The monotonic time.
            has_loans: Whether loans of earlier lives may be running.
        """
        self.is_warm = True
        if has_loans:
            self._freed.append((now_s + self._loan_end_s, 1.0))

    def is_alone_cold(self, now_s: float) -> bool:
        """Return whether all listed members answered and none was warm."""
        if self.is_warm or not self.is_list_fresh(now_s):
            return False
        members = self.members.values()
        return all(member.answered_s is not None for member in members) and not any(
            member.is_warm for member in members
        )

    def _caller(self, request: RenewRequest, now_s: float) -> Member | None:
        name = request.instance
        is_stranger = request.data_centre != self._identity.data_centre
        if is_stranger or name == self._identity.instance:
            return None
        life = Life.read(request.life)
        if life <= self._ended.last(name):
            return None
        member = self.members.get(name)
        if member is None:
            member = self._add(name, now_s)
        if life < member.life:
            return None
        self._note_life(member, life, now_s)
        member.is_known_there = True
        if request.sequence <= member.received:
            return None
        return member

    def _reply(
        self,
        request: RenewRequest,
        granted: float,
        tables: frozenset[int],
        now_s: float,
        accepted: bool,
    ) -> RenewReply:
        return RenewReply(
            accepted=accepted,
            life=self._life.write(),
            granted=granted,
            held=self.held(now_s),
            is_warm=self.is_warm,
            holds_loans=False,
            members=self._member_states(request.instance),
            ended=self._ended.write(),
            tables=sorted(tables),
            rosters=[],
        )

    def _member_states(self, excluded: str) -> list[MemberState]:
        return [
            MemberState(
                instance=name, life=member.life.write(), reserved=member.reserved
            )
            for name, member in self.members.items()
            if name != excluded
        ]

    def _add(self, name: str, now_s: float) -> Member:
        absent_s = None if name in self._listing.present else now_s
        # While this instance is warm, a newcomer can hold nothing without it.
        member = Member(
            now_s, vouched_s=now_s, absent_s=absent_s, is_known_there=self.is_warm
        )
        self.members[name] = member
        return member

    def _note_listed(self, name: str, asked_s: float) -> None:
        member = self.members.get(name)
        if member is not None:
            member.absent_s = None
        elif name not in self._ended:
            self._add(name, asked_s)

    def _note_member(self, state: MemberState, now_s: float) -> None:
        name = state.instance
        if name == self._identity.instance:
            return
        life = Life.read(state.life)
        if UNKNOWN_LIFE < life <= self._ended.last(name):
            return
        member = self.members.get(name)
        if member is None:
            member = self._add(name, now_s)
        if member.life == UNKNOWN_LIFE:
            member.life = life
        # Until the member itself has answered, what others reserve for it is
        # the only bound on what it may hold.
        if member.answered_s is None and member.life == life:
            member.reserved = max(member.reserved, state.reserved)

    def _note_life(self, member: Member, life: Life, now_s: float) -> None:
        if life <= member.life:
            return
        if member.life != UNKNOWN_LIFE:
            self._free_later(member, now_s)
            member.reserved = 0.0
        member.life = life
        member.is_known_there = False
        member.known_s = now_s
        member.granted = 0.0
        member.answered_s = None
        member.is_warm = False
        member.received = 0

    def _free_later(self, member: Member, now_s: float) -> None:
        if member.reserved > 0:
            self._freed.append((now_s + self._loan_end_s, member.reserved))
