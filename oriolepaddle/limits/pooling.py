"""Borrows share for the organisations whose home this instance is."""

import attrs

from oriolepaddle.limits.account import Account
from oriolepaddle.limits.link import LimitsLink
from oriolepaddle.limits.loan import Loan
from oriolepaddle.limits.state import Ledger
from oriolepaddle.peers.gen_py.limits.ttypes import (
    BorrowReply,
    BorrowRequest,
    LoanRequest,
    ReturnedLoan,
    ReturnRequest,
)

__all__ = ["SharePool"]

REMOTE_LENDERS = 4
ROUNDS_PER_LEVELLING = 3
LOW_FILL = 0.5
SHORT_S = 5.0
REASK_S = 10.0


@attrs.define
class _Batch:
    """What one lender is asked for in a round."""

    wanted: list[LoanRequest] = attrs.Factory(list)
    renewed: dict[int, tuple[Account, Loan]] = attrs.Factory(dict)
    lender_incarnation: int = 0


class SharePool:
    """Gathers unused share at an organisation's home and renews its loans.

    Args:
        ledger: This instance's accounts and claims.
        link: Calls the peers.
    """

    def __init__(self, ledger: Ledger, link: LimitsLink) -> None:
        self._ledger = ledger
        self._link = link
        self._round = 0

    def run(self) -> None:
        """Do one round of borrowing: one call at most to each lender."""
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            batches = self._plan(now_s)
        for lender, batch in batches.items():
            self._borrow(lender, batch)

    def give_back(self) -> None:
        """Return all loans taken, before this instance leaves."""
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            loans = [
                (account, loan)
                for account in ledger.accounts.values()
                for loan in account.borrowed.values()
            ]
            returned = self._return_loans(loans, now_s)
        self._send_returned(returned)

    def _return_loans(
        self, loans: list[tuple[Account, Loan]], now_s: float
    ) -> dict[tuple[str, int], list[ReturnedLoan]]:
        """Stop using loans taken; the messages are by lender and its life."""
        returned: dict[tuple[str, int], list[ReturnedLoan]] = {}
        for account, loan in loans:
            account.advance(now_s)
            tokens = account.give_back(loan)
            if tokens is not None:
                item = ReturnedLoan(number=loan.number, tokens=tokens)
                lender = (loan.peer, loan.incarnation)
                returned.setdefault(lender, []).append(item)
        return returned

    def _send_returned(
        self, returned: dict[tuple[str, int], list[ReturnedLoan]]
    ) -> None:
        for (lender, incarnation), loans in returned.items():
            request = ReturnRequest(
                instance=self._ledger.identity.instance,
                lender_incarnation=incarnation,
                loans=loans,
            )
            self._link.call(lender, "give_back", request)

    def _plan(self, now_s: float) -> dict[str, _Batch]:
        self._round += 1
        batches: dict[str, _Batch] = {}
        reachable = self._ledger.view.reachable()
        near = sorted(reachable & self._ledger.book.members.keys())
        own = self._ledger.identity.instance
        period_s = self._ledger.settings.active_for.total_seconds()
        for account in list(self._ledger.accounts.values()):
            account.advance(now_s)
            is_active = account.demand.is_active(now_s, period_s)
            if not is_active and not account.is_asked(now_s, period_s):
                continue
            self._plan_renewals(account, batches)
            if self._ledger.pooling_instance(account.organisation.id, reachable) == own:
                self._plan_loans(account, near, batches, now_s)
        self._drop_early_renewals(batches, now_s)
        return batches

    def _plan_loans(
        self,
        account: Account,
        near: list[str],
        batches: dict[str, _Batch],
        now_s: float,
    ) -> None:
        for lender in self._lenders(account, near, now_s):
            batch = batches.setdefault(lender, _Batch())
            batch.wanted.append(self._request(account, 1.0))
        is_low = account.missing > LOW_FILL * account.bucket.capacity
        if not is_low or self._round % ROUNDS_PER_LEVELLING:
            return
        for lender in self._remote_lenders(account.organisation.id):
            batch = batches.setdefault(lender, _Batch())
            batch.wanted.append(self._request(account, 0.0))

    def _request(self, account: Account, share: float) -> LoanRequest:
        return LoanRequest(
            organisation=account.organisation.id,
            share=share,
            tokens=0.0 if share > 0 else account.missing / REMOTE_LENDERS,
            balance=account.bucket.balance,
            capacity=account.bucket.capacity,
        )

    def _plan_renewals(self, account: Account, batches: dict[str, _Batch]) -> None:
        for loan in account.borrowed.values():
            batch = batches.setdefault(loan.peer, _Batch())
            if loan.incarnation >= batch.lender_incarnation:
                batch.lender_incarnation = loan.incarnation
                batch.renewed[loan.number] = (account, loan)

    def _drop_early_renewals(self, batches: dict[str, _Batch], now_s: float) -> None:
        """Renew all loans of one lender together, once the first needs it."""
        threshold_s = self._ledger.settings.lent_s / 2
        for lender, batch in list(batches.items()):
            loans = [loan for _, loan in batch.renewed.values()]
            first_s = min((loan.end_s for loan in loans), default=now_s)
            if first_s - now_s > threshold_s:
                batch.renewed.clear()
            if not batch.renewed and not batch.wanted:
                del batches[lender]

    def _lenders(self, account: Account, near: list[str], now_s: float) -> list[str]:
        name = account.organisation.id
        is_short = account.demand.is_short(now_s, SHORT_S)
        held = {loan.peer for loan in account.borrowed.values()}
        asked_s = account.asked_lenders_s
        lenders = [
            peer
            for peer in near
            if (is_short or peer not in held)
            and now_s - asked_s.get(peer, -REASK_S) >= REASK_S
        ]
        asked_s.update(dict.fromkeys(lenders, now_s))
        if is_short:
            lenders += self._remote_lenders(name)
        return lenders

    def _remote_lenders(self, organisation_id: str) -> list[str]:
        """Return some other data centres' homes, others in each round."""
        ledger = self._ledger
        centres = sorted(
            centre.id
            for centre in ledger.config.data_centres()
            if centre.id != ledger.identity.data_centre
        )
        if not centres:
            return []
        first = self._round * REMOTE_LENDERS % len(centres)
        turned = centres[first:] + centres[:first]
        homes = [
            ledger.homes(organisation_id, centre) for centre in turned[:REMOTE_LENDERS]
        ]
        return [ranked[0] for ranked in homes if ranked]

    def _borrow(self, lender: str, batch: _Batch) -> None:
        ledger = self._ledger
        request = BorrowRequest(
            instance=ledger.identity.instance,
            wanted=batch.wanted,
            renewed=list(batch.renewed),
            lender_incarnation=batch.lender_incarnation,
        )
        with ledger.lock:
            now_s = asked_s = ledger.refresh()
            ledger.borrowing += 1
            self._keep_room(batch, 1.0, now_s)
        reply = self._link.call(lender, "borrow", request)
        with ledger.lock:
            now_s = ledger.refresh()
            ledger.borrowing -= 1
            self._keep_room(batch, -1.0, now_s)
            if reply is None:
                return
            self._take_renewals(batch, reply, asked_s, now_s)
            self._take_loans(lender, reply, asked_s, now_s)
            recalled = [batch.renewed[number] for number in reply.recalled]
            returned = self._return_loans(recalled, now_s)
        self._send_returned(returned)

    def _keep_room(self, batch: _Batch, sign: float, now_s: float) -> None:
        for item in batch.wanted:
            account = self._ledger.known_account(item.organisation, now_s)
            if account is not None and item.tokens > 0:
                account.keep_room(sign * item.tokens)

    def _end_s(self, asked_s: float, duration_s: float) -> float:
        drift = self._ledger.settings.max_clock_drift
        return asked_s + duration_s * (1 - 3 * drift)

    def _take_renewals(
        self, batch: _Batch, reply: BorrowReply, asked_s: float, now_s: float
    ) -> None:
        changed = {renewal.number: renewal for renewal in reply.renewed}
        recalled = set(reply.recalled)
        for number, (account, loan) in batch.renewed.items():
            account.advance(now_s)
            # A loan that has ended in the meantime must not come back.
            if number in recalled or loan not in account.borrowed.values():
                continue
            renewal = changed.get(number)
            share = loan.share if renewal is None else renewal.share
            duration_s = reply.duration_s if renewal is None else renewal.duration_s
            account.renew(loan, share, self._end_s(asked_s, duration_s))

    def _take_loans(
        self, lender: str, reply: BorrowReply, asked_s: float, now_s: float
    ) -> None:
        for message in reply.loans:
            end_s = self._end_s(asked_s, message.duration_s)
            account = self._ledger.known_account(message.organisation, now_s)
            if account is None:
                continue
            if message.share <= 0:
                account.bucket.add(message.tokens)
                continue
            if end_s <= now_s:
                continue
            loan = Loan(
                peer=lender,
                number=message.number,
                incarnation=reply.incarnation,
                share=message.share,
                end_s=end_s,
            )
            account.borrow(loan, message.tokens)
