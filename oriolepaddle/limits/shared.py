"""A limiter that shares each organisation's tokens across the fleet."""

from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import Organisation
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.limits.account import Account
from oriolepaddle.limits.answered_draws import AnsweredDraws
from oriolepaddle.limits.bucket import BucketDebit
from oriolepaddle.limits.demand import Demand
from oriolepaddle.limits.drawing import MIN_TOKENS, TokenDrawer
from oriolepaddle.limits.handler import LimitsHandler
from oriolepaddle.limits.link import LimitsLink
from oriolepaddle.limits.pooling import SharePool
from oriolepaddle.limits.renewal import ClaimRenewal
from oriolepaddle.limits.reservation import ReservationPart, SharedReservation
from oriolepaddle.limits.settings import LimitSettings
from oriolepaddle.limits.settlements import Settlements
from oriolepaddle.limits.snapshot import LimitSnapshot
from oriolepaddle.limits.state import MAX_REQUEST_S, LimiterState
from oriolepaddle.membership import MembershipView
from oriolepaddle.peers import PeerCaller

__all__ = ["SharedTokenLimiter"]

MIN_DRAW_BACKOFF_S = 0.2
MAX_DRAW_BACKOFF_S = 2.0
MAX_RETRY_AFTER_S = 60.0


class SharedTokenLimiter:
    """Mints this instance's share, and borrows or draws more; thread-safe.

    Args:
        clock: The clock.
        peers: Sends calls to other instances.
        view: This instance's view of the fleet.
        config: Configuration with the data centres' weights and the organisations.
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
        self._state = LimiterState(clock, view, config, settings)
        self._answered_draws = AnsweredDraws()
        self.handler = LimitsHandler(self._state, self._answered_draws)
        self._link = LimitsLink(peers, clock, settings)
        self._settlements = Settlements(self._link, view.identity)
        self._drawer = TokenDrawer(self._state, self._link, self._settlements)
        self._pool = SharePool(self._state, self._link)
        self._renewal = ClaimRenewal(self._state, self._link)
        self._last_renewal_s: float | None = None
        self._last_pooling_s: float | None = None
        self._last_settlement_s: float | None = None
        self._last_cleanup_s: float | None = None

    def reserve(self, organisation: Organisation, tokens: float) -> SharedReservation:
        """Reserve tokens for a request; see `TokenLimiter.reserve`."""
        state = self._state
        name = organisation.id
        # The configuration may have changed since the caller read it.
        organisation = state.config.organisation(name) or organisation
        self._check_size(organisation, tokens)
        with state.lock:
            now_s = state.refresh()
            account = state.account(organisation, now_s)
            is_backing_off = account.is_draw_backing_off(now_s)
            parts = self._acquire_own(account, tokens, is_backing_off)
            missing = tokens - sum(part.tokens for part in parts)
            is_missing = missing > MIN_TOKENS
            if not is_missing or is_backing_off:
                account.demand.record(tokens, now_s, not is_missing)
            suggested_peers = []
            if is_missing:
                suggested_peers = self.handler.suggest_peers(
                    account, state.identity.instance
                )
        if is_missing and not is_backing_off:
            parts += self._drawer.draw(name, missing, suggested_peers)
            missing = tokens - sum(part.tokens for part in parts)
            self._record_draw(account, tokens, missing)
        reservation = SharedReservation(parts, self._charger(account))
        if missing > MIN_TOKENS:
            reservation.release()
            raise self._refusal(organisation, tokens, missing)
        return reservation

    def tick(self) -> None:
        """Run periodic tasks that are due; call it about 5 times a second."""
        now_s = self._clock.monotonic_s()
        if self._is_due(self._last_renewal_s, self._settings.renew_interval, now_s):
            self._last_renewal_s = now_s
            self._renewal.run()
        if self._is_due(self._last_pooling_s, self._settings.pool_interval, now_s):
            self._last_pooling_s = now_s
            self._pool.run()
        if self._is_due(self._last_settlement_s, self._settings.settle_interval, now_s):
            self._last_settlement_s = now_s
            self._settlements.send()
        if self._is_due(self._last_cleanup_s, self._settings.forget_interval, now_s):
            self._last_cleanup_s = now_s
            self._drop_expired()

    def prepare_hand_over(self) -> None:
        """Let the other members borrow this instance's share when draining begins.

        Keep calling `tick` for some seconds until `hand_over`. In this time the
        others borrow the share, so that no rate or tokens are lost.
        """
        state = self._state
        with state.lock:
            now_s = state.refresh()
            state.claims.is_draining = True
            for account in state.accounts.values():
                # Requests go to other instances from now on.
                account.demand = Demand(now_s)
        self._renewal.run()
        self._pool.return_loans()

    def hand_over(self) -> None:
        """Release the claim and notify the members; later requests are refused."""
        state = self._state
        with state.lock:
            now_s = state.refresh()
            state.claims.is_leaving = True
            state.claims.release_claim(now_s)
            state.update_base_shares(now_s)
            members = list(state.claims.members)
        self._settlements.send()
        for name in members:
            with state.lock:
                request = state.claims.make_leave_request()
            self._link.call(name, "leave", request)

    def allow_cold_start(self) -> None:
        """Allow a cold start; an operator ruled out unlisted instances here.

        This is needed after all instances of a data centre were lost at once. No
        member is left that knows whether a partitioned instance is still running.
        """
        self._renewal.allow_cold_start()

    @property
    def is_warm(self) -> bool:
        """Whether this instance knows all members that may hold a claim."""
        with self._state.lock:
            return self._state.claims.is_warm

    def pooling_instance(self, organisation_id: str) -> str:
        """Return the instance of this data centre that pools an organisation's tokens.

        A request that is sent to it needs no draw.
        """
        return self._state.pooling_instance(organisation_id)

    def snapshot(self, organisation: Organisation) -> LimitSnapshot:
        """Return an organisation's limit state for operators."""
        state = self._state
        organisation = state.config.organisation(organisation.id) or organisation
        with state.lock:
            now_s = state.refresh()
            account = state.account(organisation, now_s)
            lent = account.lent.values()
            borrowed = account.borrowed.values()
            return LimitSnapshot(
                organisation=organisation.id,
                pooling_instance=state.pooling_instance(organisation.id),
                claim=state.claims.claim,
                fraction=state.weights.fraction,
                share=account.share,
                lent=sum(loan.share for loan in lent),
                borrowed=sum(loan.share for loan in borrowed),
                loans=len(lent) + len(borrowed),
                balance_tokens=account.bucket.balance,
                demand_tokens_per_s=account.demand.rate_per_s(now_s),
                is_warm=state.claims.is_warm,
            )

    def _check_size(self, organisation: Organisation, tokens: float) -> None:
        if tokens <= organisation.burst_tokens:
            return
        raise RefusedError(
            f"the request needs {tokens:.0f} tokens, more than the burst of "
            f"{organisation.id}, {organisation.burst_tokens:.0f} tokens",
            code=ErrorCode.RATE_LIMITED,
        )

    def _acquire_own(
        self, account: Account, tokens: float, needs_all: bool
    ) -> list[ReservationPart]:
        own = min(tokens, account.bucket.balance)
        if own <= 0 or (needs_all and own < tokens):
            return []
        debit = account.bucket.acquire(own)
        return [ReservationPart(own, self._settler(account, debit))]

    def _settler(self, account: Account, debit: BucketDebit) -> Callable[[float], None]:
        def _settle(used: float) -> None:
            with self._state.lock:
                account.advance(self._state.refresh())
                account.bucket.settle(debit, used)

        return _settle

    def _charger(self, account: Account) -> Callable[[float], None]:
        def _charge(tokens: float) -> None:
            with self._state.lock:
                account.advance(self._state.refresh())
                account.bucket.charge(tokens)

        return _charge

    def _record_draw(self, account: Account, tokens: float, missing: float) -> None:
        with self._state.lock:
            now_s = self._state.refresh()
            is_missing = missing > MIN_TOKENS
            account.demand.record(tokens, now_s, not is_missing)
            if is_missing:
                rate = account.organisation.rate_tokens_per_s
                wait_s = missing / rate if rate > 0 else MAX_DRAW_BACKOFF_S
                account.draw_backoff_until_s = now_s + min(
                    MAX_DRAW_BACKOFF_S, max(MIN_DRAW_BACKOFF_S, wait_s)
                )

    def _refusal(
        self, organisation: Organisation, tokens: float, missing: float
    ) -> RefusedError:
        rate = organisation.rate_tokens_per_s
        wait_s = min(MAX_RETRY_AFTER_S, missing / rate) if rate > 0 else None
        return RefusedError(
            f"{organisation.id} has exceeded its token rate and burst: "
            f"{missing:.0f} of {tokens:.0f} tokens are not available",
            code=ErrorCode.RATE_LIMITED,
            retry_after=None if wait_s is None else timedelta(seconds=wait_s),
        )

    def _is_due(self, last_s: float | None, interval: timedelta, now_s: float) -> bool:
        return last_s is None or now_s - last_s >= interval.total_seconds()

    def _drop_expired(self) -> None:
        state = self._state
        with state.lock:
            now_s = state.refresh()
            state.drop_idle_accounts(now_s)
            self._answered_draws.expire(now_s, MAX_REQUEST_S)
            self.handler.drop_ended_loans()
