"""A limiter whose instances mint their own part and give away what they spare.

The load that this answers: daily peaks that move from region to region, so that
most of an organisation's requests reach a few instances at a time. Tokens are
debited at the giver before they are sent, so that a lost message or a cut loses
tokens and never makes any.
"""

import threading
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.config.model import Organisation
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.limits.bucket import Bucket
from oriolepaddle.limits.reservation import ReservationPart, SharedReservation
from oriolepaddle.limits.token_account import TokenAccount
from oriolepaddle.limits.token_need import TokenNeed

__all__ = ["GrantingLimiter"]

LEAST_GRANT_TOKENS = 1.0
MIN_RETRY_AFTER = timedelta(milliseconds=250)
MAX_RETRY_AFTER = timedelta(seconds=2)


class GrantingLimiter:
    """Holds organisations to their rate over all instances; thread-safe.

    Args:
        clock: The clock.
        find_share: Returns this instance's part of each rate and burst; the
            parts of all instances must not add up to more than 1.
        find_organisation: Returns an organisation as configured now, or None.
    """

    def __init__(
        self,
        clock: Clock,
        find_share: Callable[[], float],
        find_organisation: Callable[[str], Organisation | None],
    ) -> None:
        self._clock = clock
        self._find_share = find_share
        self._find_organisation = find_organisation
        self._lock = threading.Lock()
        self._accounts: dict[str, TokenAccount] = {}
        # Nothing is held at the start of a life, as an earlier one may have
        # used it; tokens accrue from then on, asked for or not.
        self._started_s = clock.monotonic_s()

    def reserve(
        self, organisation: Organisation, tokens: float, is_repeated: bool = False
    ) -> SharedReservation:
        """Set tokens aside for a request; see `TokenLimiter.reserve`.

        Args:
            organisation: The organisation that asks.
            tokens: What the request needs.
            is_repeated: Whether this request was counted as demand before.
        """
        with self._lock:
            account = self._account(organisation)
            if not is_repeated:
                account.ask(tokens)
            parts = self._take(account, tokens)
            if parts is None:
                raise self._refusal(account, tokens)
        return SharedReservation(parts, self._charger(account))

    def available(self, organisation: Organisation) -> float:
        """Return the tokens that are here now."""
        with self._lock:
            return max(0.0, self._account(organisation).balance)

    @property
    def open_debits(self) -> int:
        """Reservations that are not settled."""
        with self._lock:
            return sum(
                account.minted.open_debits + account.granted.open_debits
                for account in self._accounts.values()
            )

    def needs(self) -> dict[str, TokenNeed]:
        """Return what can be spared and is lacked, by organisation."""
        with self._lock:
            return {
                name: self._account(account.organisation).need()
                for name, account in self._accounts.items()
            }

    def grant(self, others: dict[str, TokenNeed], spares: dict[str, int]) -> dict:
        """Take out what another instance is to get.

        Args:
            others: What the other instance lacks, by organisation.
            spares: What all instances together can spare, by organisation.

        Returns:
            Tokens by organisation; they are gone from here.
        """
        grants = {}
        with self._lock:
            for name, need in others.items():
                organisation = self._find_organisation(name)
                if need.wanted <= 0 or organisation is None:
                    continue
                account = self._account(organisation)
                spare = account.need().spare
                part = spare / max(1, spare, spares.get(name, 0))
                tokens = int(min(spare, need.wanted * part))
                if tokens >= LEAST_GRANT_TOKENS:
                    grants[name] = self._remove(account, tokens)
        return {name: tokens for name, tokens in grants.items() if tokens > 0}

    def receive(self, grants: dict[str, int]) -> None:
        """Add tokens that another instance gave up."""
        with self._lock:
            for name, tokens in grants.items():
                organisation = self._find_organisation(name)
                if organisation is not None:
                    self._account(organisation).granted.add(tokens)

    def _account(self, organisation: Organisation) -> TokenAccount:
        now_s = self._clock.monotonic_s()
        account = self._accounts.get(organisation.id)
        if account is None:
            account = TokenAccount(organisation, self._started_s)
            self._accounts[organisation.id] = account
        account.organisation = self._find_organisation(organisation.id) or organisation
        account.advance(now_s, self._find_share())
        return account

    def _take(
        self, account: TokenAccount, tokens: float
    ) -> list[ReservationPart] | None:
        if tokens > account.balance:
            return None
        parts = []
        for bucket in (account.granted, account.minted):
            taken = min(tokens, max(0.0, bucket.balance))
            if taken <= 0:
                continue
            debit = bucket.acquire(taken)
            parts.append(ReservationPart(taken, self._settler(bucket, debit)))
            tokens -= taken
        return parts

    def _remove(self, account: TokenAccount, tokens: int) -> int:
        removed = account.granted.remove(tokens)
        removed += account.minted.remove(tokens - removed)
        return int(removed)

    def _settler(self, bucket: Bucket, debit: object) -> Callable[[float], None]:
        def _settle(used: float) -> None:
            with self._lock:
                bucket.settle(debit, used)

        return _settle

    def _charger(self, account: TokenAccount) -> Callable[[float], None]:
        def _charge(tokens: float) -> None:
            with self._lock:
                account.minted.charge(tokens)

        return _charge

    def _refusal(self, account: TokenAccount, tokens: float) -> RefusedError:
        held = account.organisation
        missing = tokens - account.balance
        wait = timedelta(seconds=missing / max(1.0, held.rate_tokens_per_s))
        return RefusedError(
            f"{held.id} has used its rate and burst: {missing:.0f} of {tokens:.0f} "
            "tokens are missing",
            code=ErrorCode.RATE_LIMITED,
            retry_after=min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait)),
        )
