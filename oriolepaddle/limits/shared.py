"""The limiter that shares each organisation's tokens over the fleet."""

from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import Organisation
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.limits.account import Account
from oriolepaddle.limits.answered_draws import Drawings
from oriolepaddle.limits.bucket import BucketDebit
from oriolepaddle.limits.demand import Demand
from oriolepaddle.limits.drawing import LEAST_TOKENS, TokenDrawer
from oriolepaddle.limits.handler import LimitsHandler
from oriolepaddle.limits.link import LimitsLink
from oriolepaddle.limits.pooling import SharePool
from oriolepaddle.limits.renewal import ClaimRenewal
from oriolepaddle.limits.reservation import ReservationPart, SharedReservation
from oriolepaddle.limits.settings import LimitSettings
from oriolepaddle.limits.settlements import Settlements
from oriolepaddle.limits.snapshot import LimitSnapshot
from oriolepaddle.limits.state import MAX_REQUEST_S, Ledger
from oriolepaddle.membership import MembershipView
from oriolepaddle.peers import PeerCaller

__all__ = ["SharedTokenLimiter"]

MIN_DRY_S = 0.2
MAX_DRY_S = 2.0
MAX_RETRY_AFTER_S = 60.0


class SharedTokenLimiter:
    """Mints this instance's share and borrows and draws the rest; thread-safe.

    Args:
        clock: The clock.
        peers: Calls other instances.
        view: The fleet as this instance sees it.
        config: Weights of the data centres and the organisations.
        settings: The limiter's settings, the same on all instances.
    """

    def __init__(
        self,
        clock: Clock,
        peers: PeerCaller,
        view: MembershipView,
        config: ConfigState,
        settings: LimitSettings,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._ledger = Ledger(clock, view, config, settings)
        self._drawings = Drawings()
        self.handler = LimitsHandler(self._ledger, self._drawings)
        self._link = LimitsLink(peers, clock, settings)
        self._settlements = Settlements(self._link, view.identity)
        self._drawer = TokenDrawer(self._ledger, self._link, self._settlements)
        self._pool = SharePool(self._ledger, self._link)
        self._renewal = ClaimRenewal(self._ledger, self._link)
        self._renewed_s: float | None = None
        self._pooled_s: float | None = None
        self._settled_s: float | None = None
        self._forgot_s: float | None = None

    def reserve(self, organisation: Organisation, tokens: float) -> SharedReservation:
        """Set tokens aside for a request; see `TokenLimiter.reserve`."""
        ledger = self._ledger
        name = organisation.id
        # The configuration may have changed since the caller read it.
        organisation = ledger.config.organisation(name) or organisation
        self._check_size(organisation, tokens)
        with ledger.lock:
            now_s = ledger.refresh()
            account = ledger.account(organisation, now_s)
            is_dry = account.is_dry(now_s)
            parts = self._take_own(account, tokens, is_dry)
            missing = tokens - sum(part.tokens for part in parts)
            is_missing = missing > LEAST_TOKENS
            if not is_missing or is_dry:
                account.demand.note(tokens, now_s, not is_missing)
            others = []
            if is_missing:
                others = self.handler.others(account, ledger.identity.instance)
        if is_missing and not is_dry:
            parts += self._drawer.draw(name, missing, others)
            missing = tokens - sum(part.tokens for part in parts)
            self._note_drawn(account, tokens, missing)
        reservation = SharedReservation(parts, self._charger(account))
        if missing > LEAST_TOKENS:
            reservation.release()
            raise self._refusal(organisation, tokens, missing)
        return reservation

    def tick(self) -> None:
        """Do the periodic calls that are due; call it about 5 times a second."""
        now_s = self._clock.monotonic_s()
        if self._is_due(self._renewed_s, self._settings.renew_interval, now_s):
            self._renewed_s = now_s
            self._renewal.run()
        if self._is_due(self._pooled_s, self._settings.pool_interval, now_s):
            self._pooled_s = now_s
            self._pool.run()
        if self._is_due(self._settled_s, self._settings.settle_interval, now_s):
            self._settled_s = now_s
            self._settlements.send()
        if self._is_due(self._forgot_s, self._settings.forget_interval, now_s):
            self._forgot_s = now_s
            self._forget()

    def prepare_hand_over(self) -> None:
        """Lend all that is here to the others; call it when draining begins.

        Keep calling `tick` until `hand_over`, for some seconds: the others need
        the time to borrow, and then lose neither rate nor tokens.
        """
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            ledger.book.is_draining = True
            for account in ledger.accounts.values():
                # What was asked of this instance will be asked of others.
                account.demand = Demand(now_s)
        self._renewal.run()
        self._pool.give_back()

    def hand_over(self) -> None:
        """Give the claim up and tell the others; nothing is admitted after."""
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            ledger.book.is_leaving = True
            ledger.book.give_up(now_s)
            ledger.rebase(now_s)
            members = list(ledger.book.members)
        self._settlements.send()
        for name in members:
            with ledger.lock:
                request = ledger.book.leave_request()
            self._link.call(name, "leave", request)

    def allow_cold_start(self) -> None:
        """Take an operator's word that no unlisted instance runs here.

        Needed when all instances of a data centre were lost at once: nobody is
        left who could tell whether a part of it lives on, cut off.
        """
        self._renewal.allow_cold_start()

    @property
    def is_warm(self) -> bool:
        """Whether this instance knows all that may hold a claim here."""
        with self._ledger.lock:
            return self._ledger.book.is_warm

    def pooling_instance(self, organisation_id: str) -> str:
        """Return the instance here at which a request needs no draw."""
        return self._ledger.pooling_instance(organisation_id)

    def snapshot(self, organisation: Organisation) -> LimitSnapshot:
        """Return what operators may see of an organisation."""
        ledger = self._ledger
        organisation = ledger.config.organisation(organisation.id) or organisation
        with ledger.lock:
            now_s = ledger.refresh()
            account = ledger.account(organisation, now_s)
            lent = account.lent.values()
            borrowed = account.borrowed.values()
            return LimitSnapshot(
                organisation=organisation.id,
                pooling_instance=ledger.pooling_instance(organisation.id),
                claim=ledger.book.claim,
                fraction=ledger.weights.fraction,
                share=account.share,
                lent=sum(loan.share for loan in lent),
                borrowed=sum(loan.share for loan in borrowed),
                loans=len(lent) + len(borrowed),
                balance_tokens=account.bucket.balance,
                demand_tokens_per_s=account.demand.rate_per_s(now_s),
                is_warm=ledger.book.is_warm,
            )

    def _check_size(self, organisation: Organisation, tokens: float) -> None:
        if tokens <= organisation.burst_tokens:
            return
        raise RefusedError(
            f"the request needs {tokens:.0f} tokens, more than the burst of "
            f"{organisation.id}, {organisation.burst_tokens:.0f} tokens",
            code=ErrorCode.RATE_LIMITED,
        )

    def _take_own(
        self, account: Account, tokens: float, is_whole: bool
    ) -> list[ReservationPart]:
        own = min(tokens, account.bucket.balance)
        if own <= 0 or (is_whole and own < tokens):
            return []
        debit = account.bucket.acquire(own)
        return [ReservationPart(own, self._settler(account, debit))]

    def _settler(self, account: Account, debit: BucketDebit) -> Callable[[float], None]:
        def _settle(used: float) -> None:
            with self._ledger.lock:
                account.advance(self._ledger.refresh())
                account.bucket.settle(debit, used)

        return _settle

    def _charger(self, account: Account) -> Callable[[float], None]:
        def _charge(tokens: float) -> None:
            with self._ledger.lock:
                account.advance(self._ledger.refresh())
                account.bucket.charge(tokens)

        return _charge

    def _note_drawn(self, account: Account, tokens: float, missing: float) -> None:
        with self._ledger.lock:
            now_s = self._ledger.refresh()
            is_missing = missing > LEAST_TOKENS
            account.demand.note(tokens, now_s, not is_missing)
            if is_missing:
                rate = account.organisation.rate_tokens_per_s
                wait_s = missing / rate if rate > 0 else MAX_DRY_S
                account.dry_until_s = now_s + min(MAX_DRY_S, max(MIN_DRY_S, wait_s))

    def _refusal(
        self, organisation: Organisation, tokens: float, missing: float
    ) -> RefusedError:
        rate = organisation.rate_tokens_per_s
        wait_s = min(MAX_RETRY_AFTER_S, missing / rate) if rate > 0 else None
        return RefusedError(
            f"{organisation.id} has used its rate and burst: {missing:.0f} of "
            f"{tokens:.0f} tokens are missing",
            code=ErrorCode.RATE_LIMITED,
            retry_after=None if wait_s is None else timedelta(seconds=wait_s),
        )

    def _is_due(self, last_s: float | None, interval: timedelta, now_s: float) -> bool:
        return last_s is None or now_s - last_s >= interval.total_seconds()

    def _forget(self) -> None:
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            ledger.drop_idle_accounts(now_s)
            self._drawings.forget(now_s, MAX_REQUEST_S)
            self.handler.forget_ended_loans()
