"""Handler of requests from the limiters of other instances."""

from oriolepaddle.limits.account import Account
from oriolepaddle.limits.answered_draws import AnsweredDraws, DrawKey
from oriolepaddle.limits.loan import Loan
from oriolepaddle.limits.state import LimiterState
from oriolepaddle.peers.gen_py.limits.ttypes import (
    BorrowReply,
    BorrowRequest,
    DrawReply,
    DrawRequest,
    LeaveReply,
    LeaveRequest,
    Loan as LoanMessage,
    LoanRequest,
    ProbeReply,
    ProbeRequest,
    Renewal,
    RenewReply,
    RenewRequest,
    ReturnReply,
    ReturnRequest,
    SettleReply,
    SettleRequest,
)

__all__ = ["LimitsHandler"]

MIN_LOAN_SHARE = 1e-6
MAX_SUGGESTED_PEERS = 8


class LimitsHandler:
    """Implements the thrift service `Limits`; it never calls a peer.

    Args:
        state: This instance's accounts and claims.
        answered_draws: The draws that this instance has answered.
    """

    def __init__(self, state: LimiterState, answered_draws: AnsweredDraws) -> None:
        self._state = state
        self._answered_draws = answered_draws
        self._last_loan_number = 0
        self._accounts_by_loan: dict[int, Account] = {}

    def renew(self, request: RenewRequest) -> RenewReply:
        """Reserve share for a member that renews its claim."""
        state = self._state
        with state.lock:
            now_s = state.refresh()
            tables = state.weights.digests(now_s)
            reply = state.claims.handle_renewal(request, tables, now_s)
            reply.holds_loans = state.holds_loans(now_s)
            if not request.is_warm:
                reply.rosters = state.rosters.to_messages()
            state.update_base_shares(now_s)
            return reply

    def leave(self, request: LeaveRequest) -> LeaveReply:
        """Apply the hand-over of a leaving instance."""
        state = self._state
        with state.lock:
            now_s = state.refresh()
            if request.data_centre == state.identity.data_centre:
                state.claims.handle_leave(request, now_s)
        return LeaveReply()

    def probe(self, request: ProbeRequest) -> ProbeReply:
        """Return the state that another data centre checks before its share grows."""
        state = self._state
        with state.lock:
            now_s = state.refresh()
            is_warm = state.claims.is_warm
            tables = state.confirmed_tables(now_s) if is_warm else frozenset()
            return ProbeReply(
                is_warm=is_warm,
                tables=sorted(tables),
                newest=state.weights.newest,
                holds_loans=state.holds_loans(now_s),
                members=self._members() if is_warm else [],
                past=state.rosters.instances(request.data_centre),
            )

    def borrow(self, request: BorrowRequest) -> BorrowReply:
        """Lend share that isn't needed here and renew earlier loans."""
        state = self._state
        with state.lock:
            now_s = state.refresh()
            renewed, recalled = self._renew_loans(request, now_s)
            loans = [self._lend(request, item, now_s) for item in request.wanted]
            return BorrowReply(
                incarnation=state.identity.incarnation,
                loans=[loan for loan in loans if loan is not None],
                renewed=renewed,
                recalled=recalled,
                duration_s=state.settings.loan_s,
            )

    def give_back(self, request: ReturnRequest) -> ReturnReply:
        """Accept loans that the borrower returns early, with their tokens."""
        state = self._state
        with state.lock:
            now_s = state.refresh()
            if request.lender_incarnation != state.identity.incarnation:
                return ReturnReply()
            for item in request.loans:
                account = self._accounts_by_loan.get(item.number)
                if account is None:
                    continue
                account.advance(now_s)
                loan = account.lent.get(item.number)
                if loan is not None and loan.peer == request.instance:
                    account.accept_return(item.number, item.tokens)
        return ReturnReply()

    def draw(self, request: DrawRequest) -> DrawReply:
        """Debit tokens for a request that runs at the calling instance."""
        state = self._state
        with state.lock:
            now_s = state.refresh()
            account = state.find_account(request.organisation, now_s)
            if account is None:
                return DrawReply(tokens=0.0, others=[])
            key = DrawKey(request.instance, request.incarnation, request.number)
            tokens = self._answered_draws.draw(key, account, request.tokens)
            is_met = tokens >= request.tokens
            if state.pooling_instance(request.organisation) == state.identity.instance:
                account.demand.record(request.tokens, now_s, is_met)
            others = [] if is_met else self.suggest_peers(account, request.instance)
            return DrawReply(tokens=tokens, others=others)

    def settle(self, request: SettleRequest) -> SettleReply:
        """Refund tokens that requests at the calling instance did not use."""
        state = self._state
        with state.lock:
            now_s = state.refresh()
            for item in request.settlements:
                key = DrawKey(request.instance, request.incarnation, item.number)
                self._answered_draws.settle(key, item.used, now_s)
        return SettleReply()

    def drop_ended_loans(self) -> None:
        """Drop the index of loans that have ended."""
        self._accounts_by_loan = {
            number: account
            for number, account in self._accounts_by_loan.items()
            if number in account.lent
        }

    def suggest_peers(self, account: Account, requester: str) -> list[str]:
        """Return instances that may have an organisation's tokens."""
        lent = sorted(account.lent.values(), key=lambda loan: -loan.share)
        borrowers = [loan.peer for loan in lent]
        lenders = {loan.peer for loan in account.borrowed.values()}
        members = [name for name in self._state.claims.members if name not in lenders]
        names = dict.fromkeys([*borrowers, *members])
        names.pop(requester, None)
        return list(names)[:MAX_SUGGESTED_PEERS]

    def _members(self) -> list[str]:
        return [self._state.identity.instance, *self._state.claims.members]

    def _lend(
        self, request: BorrowRequest, item: LoanRequest, now_s: float
    ) -> LoanMessage | None:
        state = self._state
        account = state.find_account(item.organisation, now_s)
        if account is None or state.claims.is_leaving:
            return None
        account.requested_at_s = now_s
        if request.instance in state.claims.members:
            lendable = account.lendable(now_s)
        else:
            lendable = account.lendable_remotely(now_s, state.weights.fraction)
        share = min(item.share, lendable)
        duration_s = self._duration_s(account, now_s)
        if share < MIN_LOAN_SHARE or duration_s <= 0:
            return self._balance_tokens(account, item)
        self._last_loan_number += 1
        loan = Loan(
            peer=request.instance,
            number=self._last_loan_number,
            incarnation=state.identity.incarnation,
            share=share,
            end_s=now_s + duration_s,
        )
        tokens = account.lend(loan)
        self._accounts_by_loan[loan.number] = account
        return LoanMessage(
            organisation=item.organisation,
            number=loan.number,
            share=share,
            tokens=tokens,
            duration_s=duration_s,
        )

    def _balance_tokens(
        self, account: Account, item: LoanRequest
    ) -> LoanMessage | None:
        """Transfer tokens so that both buckets have the same fill ratio."""
        total_capacity = account.bucket.capacity + item.capacity
        if item.tokens <= 0 or total_capacity <= 0 or self._state.claims.is_leaving:
            return None
        fill_ratio = (account.bucket.balance + item.balance) / total_capacity
        spare = account.bucket.balance - fill_ratio * account.bucket.capacity
        tokens = account.bucket.remove(min(item.tokens, spare))
        if tokens <= 0:
            return None
        return LoanMessage(
            organisation=item.organisation,
            number=0,
            share=0.0,
            tokens=tokens,
            duration_s=0.0,
        )

    def _renew_loans(
        self, request: BorrowRequest, now_s: float
    ) -> tuple[list[Renewal], list[int]]:
        """Return partial renewals and the numbers of recalled loans."""
        state = self._state
        is_same_incarnation = request.lender_incarnation == state.identity.incarnation
        if not is_same_incarnation or state.claims.is_leaving:
            return [], list(request.renewed)
        renewals, recalled = [], []
        for number in request.renewed:
            renewal = self._renew_loan(request.instance, number, now_s)
            if renewal is None:
                recalled.append(number)
            elif renewal.duration_s > 0:
                renewals.append(renewal)
        return renewals, recalled

    def _renew_loan(self, borrower: str, number: int, now_s: float) -> Renewal | None:
        """Renew a loan; a duration of 0 in the result means a full renewal."""
        account = self._accounts_by_loan.get(number)
        if account is None:
            return None
        account.advance(now_s)
        loan = account.lent.get(number)
        if loan is None or loan.peer != borrower:
            return None
        full_share = loan.share
        renewal = self._extend(account, loan, now_s)
        is_full_time = renewal is not None and (
            renewal.duration_s == self._state.settings.loan_s
        )
        if is_full_time and renewal.share == full_share:
            renewal.duration_s = 0.0
        return renewal

    def _extend(self, account: Account, loan: Loan, now_s: float) -> Renewal | None:
        share = loan.share - account.overlent_share
        duration_s = self._duration_s(account, now_s)
        if share < MIN_LOAN_SHARE or duration_s <= 0 or account.should_recall(now_s):
            return None
        if share < loan.share:
            self._last_loan_number += 1
            account.split_loan(loan, share, self._last_loan_number)
        loan.end_s = max(loan.end_s, now_s + duration_s)
        return Renewal(number=loan.number, duration_s=duration_s, share=share)

    def _duration_s(self, account: Account, now_s: float) -> float:
        """Return a loan's duration; it must not outlast any borrowed loan."""
        loan_s = self._state.settings.loan_s
        first_end_s = account.first_borrowed_end_s()
        if first_end_s is None:
            return loan_s
        return min(loan_s, first_end_s - now_s)
