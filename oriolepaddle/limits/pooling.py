"""Borrows share for the organisations that this instance pools."""

import attrs

from oriolepaddle.limits.account import Account
from oriolepaddle.limits.link import LimitsLink
from oriolepaddle.limits.loan import Loan
from oriolepaddle.limits.state import LimiterState
from oriolepaddle.peers.gen_py.limits.ttypes import (
    BorrowReply,
    BorrowRequest,
    LoanRequest,
    ReturnedLoan,
    ReturnRequest,
)

__all__ = ["SharePool"]

REMOTE_LENDERS = 4
ROUNDS_PER_BALANCING = 3
LOW_FILL_RATIO = 0.5
SHORTAGE_WINDOW_S = 5.0
REQUERY_INTERVAL_S = 10.0


@attrs.define
class _Batch:
    """Loan requests and renewals for one lender in a round."""

    wanted: list[LoanRequest] = attrs.Factory(list)
    renewed: dict[int, tuple[Account, Loan]] = attrs.Factory(dict)
    lender_incarnation: int = 0


class SharePool:
    """Borrows unused share for pooled organisations and renews the loans.

    Args:
        state: This instance's accounts and claims.
        link: Sends requests to peers.
    """

    def __init__(self, state: LimiterState, link: LimitsLink) -> None:
        self._state = state
        self._link = link
        self._round = 0

    def run(self) -> None:
        """Run one round of borrowing, with at most one call to each lender."""
        state = self._state
        with state.lock:
            now_s = state.refresh()
            batches = self._plan(now_s)
        for lender, batch in batches.items():
            self._borrow(lender, batch)

    def return_loans(self) -> None:
        """Return all borrowed loans before this instance leaves."""
        state = self._state
        with state.lock:
            now_s = state.refresh()
            loans = [
                (account, loan)
                for account in state.accounts.values()
                for loan in account.borrowed.values()
            ]
            returned = self._close_loans(loans, now_s)
        self._send_returned(returned)

    def _close_loans(
        self, loans: list[tuple[Account, Loan]], now_s: float
    ) -> dict[tuple[str, int], list[ReturnedLoan]]:
        """End borrowed loans; return messages by lender and incarnation."""
        returned: dict[tuple[str, int], list[ReturnedLoan]] = {}
        for account, loan in loans:
            account.advance(now_s)
            tokens = account.return_loan(loan)
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
                instance=self._state.identity.instance,
                lender_incarnation=incarnation,
                loans=loans,
            )
            self._link.call(lender, "give_back", request)

    def _plan(self, now_s: float) -> dict[str, _Batch]:
        self._round += 1
        batches: dict[str, _Batch] = {}
        reachable = self._state.view.reachable()
        local_peers = sorted(reachable & self._state.claims.members.keys())
        own = self._state.identity.instance
        period_s = self._state.settings.active_for.total_seconds()
        for account in list(self._state.accounts.values()):
            account.advance(now_s)
            is_active = account.demand.is_active(now_s, period_s)
            if not is_active and not account.is_requested(now_s, period_s):
                continue
            self._plan_renewals(account, batches)
            if self._state.pooling_instance(account.organisation.id, reachable) == own:
                self._plan_loans(account, local_peers, batches, now_s)
        self._drop_early_renewals(batches, now_s)
        return batches

    def _plan_loans(
        self,
        account: Account,
        local_peers: list[str],
        batches: dict[str, _Batch],
        now_s: float,
    ) -> None:
        for lender in self._lenders(account, local_peers, now_s):
            batch = batches.setdefault(lender, _Batch())
            batch.wanted.append(self._request(account, 1.0))
        is_underfilled = (
            account.free_capacity > LOW_FILL_RATIO * account.bucket.capacity
        )
        if not is_underfilled or self._round % ROUNDS_PER_BALANCING:
            return
        for lender in self._remote_lenders(account.organisation.id):
            batch = batches.setdefault(lender, _Batch())
            batch.wanted.append(self._request(account, 0.0))

    def _request(self, account: Account, share: float) -> LoanRequest:
        return LoanRequest(
            organisation=account.organisation.id,
            share=share,
            tokens=0.0 if share > 0 else account.free_capacity / REMOTE_LENDERS,
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
        """Renew a lender's loans together, once one has half its duration left."""
        threshold_s = self._state.settings.loan_s / 2
        for lender, batch in list(batches.items()):
            loans = [loan for _, loan in batch.renewed.values()]
            first_end_s = min((loan.end_s for loan in loans), default=now_s)
            if first_end_s - now_s > threshold_s:
                batch.renewed.clear()
            if not batch.renewed and not batch.wanted:
                del batches[lender]

    def _lenders(
        self, account: Account, local_peers: list[str], now_s: float
    ) -> list[str]:
        name = account.organisation.id
        has_unmet_request = account.demand.has_unmet_request(now_s, SHORTAGE_WINDOW_S)
        current_lenders = {loan.peer for loan in account.borrowed.values()}
        queried_at_s = account.lender_queried_at_s
        lenders = [
            peer
            for peer in local_peers
            if (has_unmet_request or peer not in current_lenders)
            and now_s - queried_at_s.get(peer, -REQUERY_INTERVAL_S)
            >= REQUERY_INTERVAL_S
        ]
        queried_at_s.update(dict.fromkeys(lenders, now_s))
        if has_unmet_request:
            lenders += self._remote_lenders(name)
        return lenders

    def _remote_lenders(self, organisation_id: str) -> list[str]:
        """Return pooling instances of other data centres, rotated each round."""
        state = self._state
        centres = sorted(
            centre.id
            for centre in state.config.data_centres()
            if centre.id != state.identity.data_centre
        )
        if not centres:
            return []
        first = self._round * REMOTE_LENDERS % len(centres)
        rotated = centres[first:] + centres[:first]
        ranked_instances = [
            state.rank_pooling_instances(organisation_id, centre)
            for centre in rotated[:REMOTE_LENDERS]
        ]
        return [ranked[0] for ranked in ranked_instances if ranked]

    def _borrow(self, lender: str, batch: _Batch) -> None:
        state = self._state
        request = BorrowRequest(
            instance=state.identity.instance,
            wanted=batch.wanted,
            renewed=list(batch.renewed),
            lender_incarnation=batch.lender_incarnation,
        )
        with state.lock:
            now_s = sent_at_s = state.refresh()
            state.pending_borrows += 1
            self._reserve_room(batch, 1.0, now_s)
        reply = self._link.call(lender, "borrow", request)
        with state.lock:
            now_s = state.refresh()
            state.pending_borrows -= 1
            self._reserve_room(batch, -1.0, now_s)
            if reply is None:
                return
            self._apply_renewals(batch, reply, sent_at_s, now_s)
            self._apply_loans(lender, reply, sent_at_s, now_s)
            recalled = [batch.renewed[number] for number in reply.recalled]
            returned = self._close_loans(recalled, now_s)
        self._send_returned(returned)

    def _reserve_room(self, batch: _Batch, sign: float, now_s: float) -> None:
        for item in batch.wanted:
            account = self._state.find_account(item.organisation, now_s)
            if account is not None and item.tokens > 0:
                account.reserve_room(sign * item.tokens)

    def _end_s(self, sent_at_s: float, duration_s: float) -> float:
        drift = self._state.settings.max_clock_drift
        return sent_at_s + duration_s * (1 - 3 * drift)

    def _apply_renewals(
        self, batch: _Batch, reply: BorrowReply, sent_at_s: float, now_s: float
    ) -> None:
        changed = {renewal.number: renewal for renewal in reply.renewed}
        recalled = set(reply.recalled)
        for number, (account, loan) in batch.renewed.items():
            account.advance(now_s)
            # A loan that has ended in the meantime must not be renewed.
            if number in recalled or loan not in account.borrowed.values():
                continue
            renewal = changed.get(number)
            share = loan.share if renewal is None else renewal.share
            duration_s = reply.duration_s if renewal is None else renewal.duration_s
            account.renew(loan, share, self._end_s(sent_at_s, duration_s))

    def _apply_loans(
        self, lender: str, reply: BorrowReply, sent_at_s: float, now_s: float
    ) -> None:
        for message in reply.loans:
            end_s = self._end_s(sent_at_s, message.duration_s)
            account = self._state.find_account(message.organisation, now_s)
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
