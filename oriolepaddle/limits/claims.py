"""The claims of a data centre's instances on its share."""

from collections.abc import Iterable

from oriolepaddle.limits.claim import OwnClaim
from oriolepaddle.limits.claim_epoch import UNKNOWN_EPOCH, ClaimEpoch
from oriolepaddle.limits.ended_epochs import EndedEpochs
from oriolepaddle.limits.instance_list import InstanceListTracker
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

__all__ = ["ClaimManager"]

CLAIM_TOLERANCE = 1e-9
NEVER_S = float("inf")


class ClaimManager:
    """Manages this instance's claim, the fraction of its data centre's share to mint.

    A claim grows only up to the minimum that the other members have reserved for
    it. A member reserves only share that neither it nor any other member known to
    it may hold. So the claims of all instances add up to at most 1, even if lists
    or messages are late or lost. Not thread-safe: the limiter holds its lock.

    Args:
        identity: This instance and its incarnation.
        settings: The limiter's settings.
    """

    def __init__(self, identity: PeerIdentity, settings: LimitSettings) -> None:
        self._identity = identity
        self._settings = settings
        self.members: dict[str, Member] = {}
        self.is_warm = False
        self.is_draining = False
        self.is_leaving = False
        self._own = OwnClaim(settings.loan_s)
        self._list_tracker = InstanceListTracker(identity, settings.max_list_age)
        self._pending_releases: list[tuple[float, float]] = []
        self._epoch = ClaimEpoch(identity.incarnation)
        self._ended = EndedEpochs()
        self._sequence = 0

    @property
    def claim(self) -> float:
        """The fraction of the data centre's share that is minted here."""
        return self._own.claim

    @property
    def _loan_wait_s(self) -> float:
        """Seconds after which loans of an ended epoch have run out."""
        drift = self._settings.max_clock_drift
        return self._settings.loan_s * (1 + 3 * drift)

    @property
    def target(self) -> float:
        """This instance's equal share of the data centre, from 0 to 1."""
        if self.is_leaving:
            return 0.0
        return 1.0 / (1 + len(self.members))

    def outstanding(self, now_s: float) -> float:
        """Return the claim, or a larger released claim that loans may still use."""
        return self._own.outstanding(now_s)

    def mint_deadline_s(self) -> float:
        """Return the time when this instance must stop minting, or infinity."""
        if not self.members:
            return NEVER_S
        confirmed_s = min(
            max(member.first_seen_s, member.last_renewed_s or 0.0)
            for member in self.members.values()
        )
        return (
            max(confirmed_s, self._list_tracker.listed_at_s)
            + self._settings.mint_lease.total_seconds()
        )

    def apply_list(self, published: InstanceList) -> None:
        """Apply a published list; repeated calls with the same list have no effect."""
        update = self._list_tracker.update(published)
        if update is None:
            return
        for name in update.present:
            self._add_listed(name, update.requested_at_s)
        for name, member in self.members.items():
            is_first = update.is_gap or member.absent_since_s is None
            if name not in update.present and is_first:
                member.absent_since_s = update.requested_at_s

    def is_list_fresh(self, now_s: float) -> bool:
        """Return whether the newest list is fresh and lists this instance."""
        return self._list_tracker.is_fresh(now_s)

    def make_renewal(
        self, name: str, tables: Iterable[int], now_s: float
    ) -> RenewRequest:
        """Return the renewal to send to a member."""
        member = self.members[name]
        outstanding = self.outstanding(now_s)
        wanted = max(outstanding, self.target)
        self._sequence += 1
        member.sent_sequence = self._sequence
        # The member may lower its reservation to the wanted claim.
        member.granted = min(member.granted, wanted)
        return RenewRequest(
            instance=self._identity.instance,
            life=self._epoch.to_message(),
            data_centre=self._identity.data_centre,
            sequence=member.sent_sequence,
            held=outstanding,
            wanted=wanted,
            tables=sorted(tables),
            is_warm=self.is_warm,
            is_draining=self.is_draining,
        )

    def apply_reply(
        self, name: str, request: RenewRequest, reply: RenewReply, sent_at_s: float
    ) -> None:
        """Apply a member's reply to `request`, which was sent at `sent_at_s`."""
        member = self.members.get(name)
        if (
            member is None
            or not reply.accepted
            or request.sequence != member.sent_sequence
        ):
            return
        epoch = ClaimEpoch.from_message(reply.life)
        if epoch < member.epoch:
            return
        self._update_epoch(member, epoch, sent_at_s)
        member.knows_this_instance = True
        for state in reply.members:
            self._merge_member_state(state, sent_at_s)
        for state in reply.ended:
            self.end_epoch(
                state.instance, ClaimEpoch.from_message(state.life), sent_at_s
            )
        member.granted = reply.granted
        member.reserved = max(member.reserved, reply.held)
        member.is_warm = reply.is_warm
        member.holds_loans = reply.holds_loans
        member.last_renewed_s = sent_at_s
        member.weight_tables = frozenset(reply.tables)

    def handle_renewal(
        self, request: RenewRequest, tables: frozenset[int], now_s: float
    ) -> RenewReply:
        """Reserve share for a member that renews its claim, and return the reply."""
        member = self._find_sender(request, now_s)
        if member is None:
            return self._reply(request, 0.0, tables, now_s, accepted=False)
        member.received_sequence = request.sequence
        member.renewal_answered_s = now_s
        member.is_draining = request.is_draining
        member.weight_tables = frozenset(request.tables)
        self.shrink(now_s)
        free_share = 0.0
        # No claim grows while weights change.
        if member.weight_tables == tables and len(tables) == 1:
            free_share = max(0.0, self.free_share(now_s))
        granted = min(request.wanted, member.reserved + free_share)
        member.reserved = max(request.held, granted)
        return self._reply(request, member.reserved, tables, now_s, accepted=True)

    def free_share(self, now_s: float) -> float:
        """Return the fraction of the share that no instance may hold."""
        self._pending_releases = [
            pair for pair in self._pending_releases if pair[0] > now_s
        ]
        reserved = sum(member.reserved for member in self.members.values())
        pending = sum(part for _, part in self._pending_releases)
        return 1.0 - self.outstanding(now_s) - reserved - pending

    def end_epoch(self, name: str, epoch: ClaimEpoch, now_s: float) -> None:
        """End a member's epoch; its share becomes free once its loans have run out."""
        if name == self._identity.instance:
            return
        self._ended.add(name, epoch, now_s)
        member = self.members.get(name)
        if member is None or member.epoch > epoch:
            return
        self._release_after_loans(member, now_s)
        del self.members[name]

    def make_leave_request(self) -> LeaveRequest:
        """Return the request that hands over this instance's claim."""
        return LeaveRequest(
            instance=self._identity.instance,
            life=self._epoch.to_message(),
            data_centre=self._identity.data_centre,
            members=self._member_states(self._identity.instance),
        )

    def handle_leave(self, request: LeaveRequest, now_s: float) -> None:
        """Apply the hand-over of a leaving member."""
        for state in request.members:
            self._merge_member_state(state, now_s)
        self.end_epoch(request.instance, ClaimEpoch.from_message(request.life), now_s)

    @property
    def is_settled(self) -> bool:
        """Whether the claim is at its target and no change of it is pending."""
        is_due = abs(self.claim - self.target) < CLAIM_TOLERANCE
        return (
            self.is_warm
            and is_due
            and not self._own.is_shrinking
            and not self.is_draining
        )

    @property
    def lendable_claim(self) -> float:
        """The part of the claim from which loans may be made and renewed."""
        return self._own.lendable_claim

    def shrink(self, now_s: float) -> None:
        """Lower the claim to its target after the loans made from it have run out."""
        self._own.shrink(self.target, now_s)

    def release_claim(self, now_s: float) -> None:
        """Stop minting immediately; loans made earlier run out on their own."""
        self._own.release(now_s)

    def grow(self, now_s: float) -> None:
        """Raise the claim up to the share that all members have reserved."""
        if not self.is_warm or self.is_leaving or self._own.is_shrinking:
            return
        if any(member.last_renewed_s is None for member in self.members.values()):
            return
        grants = [member.granted for member in self.members.values()]
        allowed = self.claim + max(0.0, self.free_share(now_s))
        self._own.grow(min([self.target, allowed, *grants]))

    def lapse(self, now_s: float) -> None:
        """Release the claim after the mint lease has expired and start a new epoch."""
        self.release_claim(now_s)
        self.is_warm = False
        self._epoch = ClaimEpoch(self._epoch.incarnation, self._epoch.lapses + 1)
        for member in self.members.values():
            member.last_renewed_s = None
            member.is_warm = False
            member.knows_this_instance = False

    def release_expired_members(self, now_s: float) -> None:
        """Drop absent members that are guaranteed to have stopped minting."""
        wait_s = self._settings.release_s
        self._ended.expire(now_s - wait_s, self._list_tracker.present)
        if not self.is_list_fresh(now_s):
            return
        for name, member in list(self.members.items()):
            if member.absent_since_s is None or not member.knows_this_instance:
                continue
            if now_s - max(member.absent_since_s, member.renewal_answered_s) > wait_s:
                self._ended.add(name, member.epoch, now_s)
                del self.members[name]

    def try_join(self, now_s: float) -> None:
        """Become warm once all known members have replied and one of them is warm."""
        members = self.members.values()
        have_all_answered = all(member.last_renewed_s is not None for member in members)
        if not have_all_answered or not any(member.is_warm for member in members):
            return
        if self.is_list_fresh(now_s):
            self.is_warm = True

    def cold_start(self, now_s: float, has_loans: bool) -> None:
        """Become warm without a warm member.

        Args:
            now_s: The monotonic time.
            has_loans: Whether loans of earlier epochs may be active.
        """
        self.is_warm = True
        if has_loans:
            self._pending_releases.append((now_s + self._loan_wait_s, 1.0))

    def may_cold_start(self, now_s: float) -> bool:
        """Return whether all known members have replied and none is warm."""
        if self.is_warm or not self.is_list_fresh(now_s):
            return False
        members = self.members.values()
        return all(member.last_renewed_s is not None for member in members) and not any(
            member.is_warm for member in members
        )

    def _find_sender(self, request: RenewRequest, now_s: float) -> Member | None:
        name = request.instance
        is_other_data_centre = request.data_centre != self._identity.data_centre
        if is_other_data_centre or name == self._identity.instance:
            return None
        epoch = ClaimEpoch.from_message(request.life)
        if epoch <= self._ended.latest(name):
            return None
        member = self.members.get(name)
        if member is None:
            member = self._add(name, now_s)
        if epoch < member.epoch:
            return None
        self._update_epoch(member, epoch, now_s)
        member.knows_this_instance = True
        if request.sequence <= member.received_sequence:
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
            life=self._epoch.to_message(),
            granted=granted,
            held=self.outstanding(now_s),
            is_warm=self.is_warm,
            holds_loans=False,
            members=self._member_states(request.instance),
            ended=self._ended.to_messages(),
            tables=sorted(tables),
            rosters=[],
        )

    def _member_states(self, excluded: str) -> list[MemberState]:
        return [
            MemberState(
                instance=name, life=member.epoch.to_message(), reserved=member.reserved
            )
            for name, member in self.members.items()
            if name != excluded
        ]

    def _add(self, name: str, now_s: float) -> Member:
        absent_since_s = None if name in self._list_tracker.present else now_s
        # While this instance is warm, a new member gets no claim without its reply.
        member = Member(
            now_s,
            renewal_answered_s=now_s,
            absent_since_s=absent_since_s,
            knows_this_instance=self.is_warm,
        )
        self.members[name] = member
        return member

    def _add_listed(self, name: str, listed_at_s: float) -> None:
        member = self.members.get(name)
        if member is not None:
            member.absent_since_s = None
        elif name not in self._ended:
            self._add(name, listed_at_s)

    def _merge_member_state(self, state: MemberState, now_s: float) -> None:
        name = state.instance
        if name == self._identity.instance:
            return
        epoch = ClaimEpoch.from_message(state.life)
        if UNKNOWN_EPOCH < epoch <= self._ended.latest(name):
            return
        member = self.members.get(name)
        if member is None:
            member = self._add(name, now_s)
        if member.epoch == UNKNOWN_EPOCH:
            member.epoch = epoch
        # Until the member itself has replied, the reservations that others report
        # for it are the only bound on its claim.
        if member.last_renewed_s is None and member.epoch == epoch:
            member.reserved = max(member.reserved, state.reserved)

    def _update_epoch(self, member: Member, epoch: ClaimEpoch, now_s: float) -> None:
        if epoch <= member.epoch:
            return
        if member.epoch != UNKNOWN_EPOCH:
            self._release_after_loans(member, now_s)
            member.reserved = 0.0
        member.epoch = epoch
        member.knows_this_instance = False
        member.first_seen_s = now_s
        member.granted = 0.0
        member.last_renewed_s = None
        member.is_warm = False
        member.received_sequence = 0

    def _release_after_loans(self, member: Member, now_s: float) -> None:
        if member.reserved > 0:
            self._pending_releases.append((now_s + self._loan_wait_s, member.reserved))
