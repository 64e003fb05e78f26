"""A limiter whose instances mint their own share and grant spare tokens to others.

It is designed for daily peaks that move from region to region, so that most of an
organisation's requests reach a few instances at a time. Tokens are debited at the
granting instance before they are sent, so that a lost message or a network
partition can lose tokens but never create any.
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

MIN_GRANT_TOKENS = 1.0
MIN_RETRY_AFTER = timedelta(milliseconds=250)
MAX_RETRY_AFTER = timedelta(seconds=2)


class GrantingLimiter:
    """Enforces each organisation's rate over all instances; thread-safe.

    Args:
        clock: The clock.
        find_share: Returns this instance's fraction of each rate and burst; the
            fractions of all instances must not add up to more than 1.
        find_organisation: Returns the current configuration of an organisation,
            or None.
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
        # Buckets start empty, because an earlier incarnation may have used the
        # tokens. They accrue from here on, with or without requests.
        self._started_s = clock.monotonic_s()

    def reserve(
        self, organisation: Organisation, tokens: float, is_repeated: bool = False
    ) -> SharedReservation:
        """Reserve tokens for a request; see `TokenLimiter.reserve`.

        Args:
            organisation: The organisation of the caller.
            tokens: The number of tokens that the request needs.
            is_repeated: Whether the request has already been counted as demand.
        """
        with self._lock:
            account = self._account(organisation)
            if not is_repeated:
                account.record_demand(tokens)
            parts = self._acquire(account, tokens)
            if parts is None:
                raise self._refusal(account, tokens)
        return SharedReservation(parts, self._charger(account))

    def available(self, organisation: Organisation) -> float:
        """Return the tokens available at this instance."""
        with self._lock:
            return max(0.0, self._account(organisation).balance)

    @property
    def open_debits(self) -> int:
        """The number of unsettled debits."""
        with self._lock:
            return sum(
                account.minted.open_debits + account.granted.open_debits
                for account in self._accounts.values()
            )

    def needs(self) -> dict[str, TokenNeed]:
        """Return spare and wanted tokens by organisation."""
        with self._lock:
            return {
                name: self._account(account.organisation).need()
                for name, account in self._accounts.items()
            }

    def grant(self, others: dict[str, TokenNeed], spares: dict[str, int]) -> dict:
        """Withdraw tokens to grant to another instance.

        Args:
            others: Needs of the other instance by organisation.
            spares: Total spare tokens of all instances by organisation.

        Returns:
            Granted tokens by organisation, already removed from the buckets here.
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
                if tokens >= MIN_GRANT_TOKENS:
                    grants[name] = self._remove(account, tokens)
        return {name: tokens for name, tokens in grants.items() if tokens > 0}

    def receive(self, grants: dict[str, int]) -> None:
        """Add tokens granted by another instance."""
        with self._lock:
            for name, tokens in grants.items():
                organisation = self._find_organisation(name)
                if organisation is not None:
                    self._account(organisation).granted.add(tokens)

    def drop_unknown(self) -> None:
        """Drop the accounts of what is no longer configured."""
        if not self._accounts:
            return
        with self._lock:
            self._accounts = {
                name: account
                for name, account in self._accounts.items()
                if self._find_organisation(name) is not None
            }

    def _account(self, organisation: Organisation) -> TokenAccount:
        now_s = self._clock.monotonic_s()
        account = self._accounts.get(organisation.id)
        if account is None:
            account = TokenAccount(organisation, self._started_s)
            self._accounts[organisation.id] = account
        account.organisation = self._find_organisation(organisation.id) or organisation
        account.advance(now_s, self._find_share())
        return account

    def _acquire(
        self, account: TokenAccount, tokens: float
    ) -> list[ReservationPart] | None:
        if tokens > account.balance:
            return None
        parts = []
        for bucket in (account.granted, account.minted):
            acquired = min(tokens, max(0.0, bucket.balance))
            if acquired <= 0:
                continue
            debit = bucket.acquire(acquired)
            parts.append(ReservationPart(acquired, self._settler(bucket, debit)))
            tokens -= acquired
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
        organisation = account.organisation
        missing = tokens - account.balance
        wait = timedelta(seconds=missing / max(1.0, organisation.rate_tokens_per_s))
        return RefusedError(
            f"{organisation.id} has exceeded its token rate and burst: "
            f"{missing:.0f} of {tokens:.0f} tokens are not available",
            code=ErrorCode.RATE_LIMITED,
            retry_after=min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait)),
        )
