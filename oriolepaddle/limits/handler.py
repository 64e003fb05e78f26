"""Answers the limiters of other instances."""

from oriolepaddle.limits.account import Account
from oriolepaddle.limits.answered_draws import Drawings, DrawKey
from oriolepaddle.limits.loan import Loan
from oriolepaddle.limits.state import Ledger
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

LEAST_LOAN = 1e-6
MAX_OTHERS = 8


class LimitsHandler:
    """Handles the thrift service `Limits`; it never calls a peer.

    Args:
        ledger: This instance's accounts and claims.
        drawings: The draws answered here.
    """

    def __init__(self, ledger: Ledger, drawings: Drawings) -> None:
        self._ledger = ledger
        self._drawings = drawings
        self._number = 0
        self._lent_from: dict[int, Account] = {}

    def renew(self, request: RenewRequest) -> RenewReply:
        """Reserve for a member what it may hold."""
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            tables = ledger.weights.digests(now_s)
            reply = ledger.book.handle(request, tables, now_s)
            reply.holds_loans = ledger.holds_loans(now_s)
            if not request.is_warm:
                reply.rosters = ledger.rosters.write()
            ledger.rebase(now_s)
            return reply

    def leave(self, request: LeaveRequest) -> LeaveReply:
        """Take in a leaving instance's hand-over."""
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            if request.data_centre == ledger.identity.data_centre:
                ledger.book.handle_leave(request, now_s)
        return LeaveReply()

    def probe(self, request: ProbeRequest) -> ProbeReply:
        """Tell what another data centre needs to know before it grows."""
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            is_warm = ledger.book.is_warm
            tables = ledger.confirmed_tables(now_s) if is_warm else frozenset()
            return ProbeReply(
                is_warm=is_warm,
                tables=sorted(tables),
                newest=ledger.weights.newest,
                holds_loans=ledger.holds_loans(now_s),
                members=self._members() if is_warm else [],
                past=ledger.rosters.instances(request.data_centre),
            )

    def borrow(self, request: BorrowRequest) -> BorrowReply:
        """Lend what is not needed here and renew earlier loans."""
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            renewed, recalled = self._renew_loans(request, now_s)
            loans = [self._lend(request, item, now_s) for item in request.wanted]
            return BorrowReply(
                incarnation=ledger.identity.incarnation,
                loans=[loan for loan in loans if loan is not None],
                renewed=renewed,
                recalled=recalled,
                duration_s=ledger.settings.lent_s,
            )

    def give_back(self, request: ReturnRequest) -> ReturnReply:
        """Take loans back that the borrower no longer uses, with their tokens."""
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            if request.lender_incarnation != ledger.identity.incarnation:
                return ReturnReply()
            for item in request.loans:
                account = self._lent_from.get(item.number)
                if account is None:
                    continue
                account.advance(now_s)
                loan = account.lent.get(item.number)
                if loan is not None and loan.peer == request.instance:
                    account.take_back(item.number, item.tokens)
        return ReturnReply()

    def draw(self, request: DrawRequest) -> DrawReply:
        """Debit tokens for a request that runs at the calling instance."""
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            account = ledger.known_account(request.organisation, now_s)
            if account is None:
                return DrawReply(tokens=0.0, others=[])
            key = DrawKey(request.instance, request.incarnation, request.number)
            tokens = self._drawings.draw(key, account, request.tokens)
            is_met = tokens >= request.tokens
            if (
                ledger.pooling_instance(request.organisation)
                == ledger.identity.instance
            ):
                account.demand.note(request.tokens, now_s, is_met)
            others = [] if is_met else self.others(account, request.instance)
            return DrawReply(tokens=tokens, others=others)

    def settle(self, request: SettleRequest) -> SettleReply:
        """Take back what requests at the calling instance did not use."""
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            for item in request.settlements:
                key = DrawKey(request.instance, request.incarnation, item.number)
                self._drawings.settle(key, item.used, now_s)
        return SettleReply()

    def forget_ended_loans(self) -> None:
        """Drop the index of loans that have ended."""
        self._lent_from = {
            number: account
            for number, account in self._lent_from.items()
            if number in account.lent
        }

    def others(self, account: Account, asker: str) -> list[str]:
        """Return instances that may have an organisation's tokens."""
        lent = sorted(account.lent.values(), key=lambda loan: -loan.share)
        borrowers = [loan.peer for loan in lent]
        lenders = {loan.peer for loan in account.borrowed.values()}
        members = [name for name in self._ledger.book.members if name not in lenders]
        names = dict.fromkeys([*borrowers, *members])
        names.pop(asker, None)
        return list(names)[:MAX_OTHERS]

    def _members(self) -> list[str]:
        return [self._ledger.identity.instance, *self._ledger.book.members]

    def _lend(
        self, request: BorrowRequest, item: LoanRequest, now_s: float
    ) -> LoanMessage | None:
        ledger = self._ledger
        account = ledger.known_account(item.organisation, now_s)
        if account is None or ledger.book.is_leaving:
            return None
        account.asked_s = now_s
        if request.instance in ledger.book.members:
            lendable = account.lendable(now_s)
        else:
            lendable = account.lendable_far(now_s, ledger.weights.fraction)
        share = min(item.share, lendable)
        duration_s = self._duration_s(account, now_s)
        if share < LEAST_LOAN or duration_s <= 0:
            return self._give_tokens(account, item)
        self._number += 1
        loan = Loan(
            peer=request.instance,
            number=self._number,
            incarnation=ledger.identity.incarnation,
            share=share,
            end_s=now_s + duration_s,
        )
        tokens = account.lend(loan)
        self._lent_from[loan.number] = account
        return LoanMessage(
            organisation=item.organisation,
            number=loan.number,
            share=share,
            tokens=tokens,
            duration_s=duration_s,
        )

    def _give_tokens(self, account: Account, item: LoanRequest) -> LoanMessage | None:
        """Give tokens away so that both buckets are filled alike."""
        room = account.bucket.capacity + item.capacity
        if item.tokens <= 0 or room <= 0 or self._ledger.book.is_leaving:
            return None
        fill = (account.bucket.balance + item.balance) / room
        spare = account.bucket.balance - fill * account.bucket.capacity
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
        """Return the loans not renewed in full, and those not renewed at all."""
        ledger = self._ledger
        is_same_life = request.lender_incarnation == ledger.identity.incarnation
        if not is_same_life or ledger.book.is_leaving:
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
        """Renew a loan; a duration of 0 stands for a renewal in full."""
        account = self._lent_from.get(number)
        if account is None:
            return None
        account.advance(now_s)
        loan = account.lent.get(number)
        if loan is None or loan.peer != borrower:
            return None
        whole = loan.share
        renewal = self._prolong(account, loan, now_s)
        is_full_time = renewal is not None and (
            renewal.duration_s == self._ledger.settings.lent_s
        )
        if is_full_time and renewal.share == whole:
            renewal.duration_s = 0.0
        return renewal

    def _prolong(self, account: Account, loan: Loan, now_s: float) -> Renewal | None:
        share = loan.share - account.overlent
        duration_s = self._duration_s(account, now_s)
        if share < LEAST_LOAN or duration_s <= 0 or account.wants_back(now_s):
            return None
        if share < loan.share:
            self._number += 1
            account.split_loan(loan, share, self._number)
        loan.end_s = max(loan.end_s, now_s + duration_s)
        return Renewal(number=loan.number, duration_s=duration_s, share=share)

    def _duration_s(self, account: Account, now_s: float) -> float:
        """Return how long a loan may last: no longer than those it draws on."""
        lent_s = self._ledger.settings.lent_s
        shortest_s = account.shortest_borrowed_s()
        if shortest_s is None:
            return lent_s
        return min(lent_s, shortest_s - now_s)
