"""Everything that one instance's limiter knows, under one lock."""

import threading

from oriolepaddle.clock import Clock
from oriolepaddle.config import ConfigState, Entry
from oriolepaddle.config.model import ObjectKind, Organisation
from oriolepaddle.limits.account import Account
from oriolepaddle.limits.claims import ClaimBook
from oriolepaddle.limits.rosters import RosterBook
from oriolepaddle.limits.settings import LimitSettings
from oriolepaddle.limits.weights import WeightHistory
from oriolepaddle.membership import MembershipView
from oriolepaddle.membership.rendezvous import rank_instances
from oriolepaddle.publication import InstanceList, InstanceState

__all__ = ["Ledger"]


class Ledger:
    """Claims, weights and accounts; callers hold `lock` and refresh first.

    Args:
        clock: The clock.
        view: The fleet as this instance sees it.
        config: The configuration.
        settings: The limiter's settings.
    """

    def __init__(
        self,
        clock: Clock,
        view: MembershipView,
        config: ConfigState,
        settings: LimitSettings,
    ) -> None:
        self.lock = threading.RLock()
        self.clock = clock
        self.view = view
        self.config = config
        self.settings = settings
        self.identity = view.identity
        now_s = clock.monotonic_s()
        self.book = ClaimBook(self.identity, settings)
        self.weights = WeightHistory(config, self.identity.data_centre, settings.lent_s)
        self.accounts: dict[str, Account] = {}
        self.rosters = RosterBook(self.identity.data_centre)
        self.borrowing = 0
        self._base = 0.0
        self._lent_base = 0.0
        self._base_since_s = now_s
        self._changed_s: dict[str, float] = {}
        self._published: InstanceList | None = None
        self._live: dict[str, list[str]] = {}
        self._ranked: dict[tuple[str, str], list[str]] = {}
        config.add_listener(self._note_entries)

    @property
    def base(self) -> float:
        """This instance's own part, from 0 to 1, of each rate and burst."""
        return self._base

    def refresh(self) -> float:
        """Give up what has lapsed and return the monotonic time.

        It comes first in each decision: the process may have been paused
        since the last one.
        """
        now_s = self.clock.monotonic_s()
        lapse_s = self.book.lapse_s()
        if self.book.is_warm and now_s > lapse_s:
            for account in self.accounts.values():
                account.advance(lapse_s)
            self.book.lapse(now_s)
            self.rebase(lapse_s)
        return now_s

    def rebase(self, now_s: float) -> None:
        """Apply a changed claim or changed weights to all accounts."""
        base = self.book.claim * self.weights.fraction
        lent_base = self.book.lent_claim * self.weights.fraction
        if (base, lent_base) == (self._base, self._lent_base):
            return
        if base > self._base:
            self._base_since_s = now_s
        self._base = base
        self._lent_base = lent_base
        for account in self.accounts.values():
            account.advance(now_s)
            account.set_base(base, lent_base)

    def account(self, organisation: Organisation, now_s: float) -> Account:
        """Return an organisation's account, minted until `now_s`."""
        account = self.accounts.get(organisation.id)
        if account is None:
            since_s = max(self._base_since_s, self._changed_s.get(organisation.id, 0.0))
            account = Account(organisation, since_s, self.settings.max_clock_drift)
            account.set_base(self._base, self._lent_base)
            self.accounts[organisation.id] = account
        account.advance(now_s)
        account.set_organisation(organisation)
        return account

    def known_account(self, organisation_id: str, now_s: float) -> Account | None:
        """Return the account of a configured organisation, or None."""
        organisation = self.config.organisation(organisation_id)
        if organisation is None:
            return None
        return self.account(organisation, now_s)

    def drop_idle_accounts(self, now_s: float) -> None:
        """Drop the accounts of organisations that nobody uses here."""
        period_s = self.settings.active_for.total_seconds()
        for name, account in list(self.accounts.items()):
            if account.bucket.open_debits:
                account.bucket.forget(now_s - MAX_REQUEST_S)
            if account.demand.is_active(now_s, period_s) or account.is_asked(
                now_s, period_s
            ):
                continue
            account.advance(now_s)
            if account.is_idle:
                del self.accounts[name]

    def homes(self, organisation_id: str, data_centre: str) -> list[str]:
        """Rank a data centre's instances as homes of an organisation."""
        names = self._live_instances().get(data_centre, ())
        key = (organisation_id, data_centre)
        ranked = self._ranked.get(key)
        if ranked is None:
            ranked = list(rank_instances(names, organisation_id))
            self._ranked[key] = ranked
        return ranked

    def pooling_instance(
        self, organisation_id: str, reachable: frozenset[str] | None = None
    ) -> str:
        """Return the instance of this data centre that pools an organisation.

        Args:
            organisation_id: The organisation.
            reachable: The peers that can be reached, if the caller has them.
        """
        own = self.identity
        if reachable is None:
            reachable = self.view.reachable()
        members = self.book.members
        for name in self.homes(organisation_id, own.data_centre):
            if name == own.instance and not self.book.is_draining:
                return name
            member = members.get(name)
            is_draining = member is not None and member.is_draining
            if name in reachable and not is_draining:
                return name
        return own.instance

    def holds_loans(self, now_s: float) -> bool:
        """Return whether loans from others are running or being asked for."""
        if self.borrowing > 0:
            return True
        loans = (
            loan
            for account in self.accounts.values()
            for loan in account.borrowed.values()
        )
        return any(loan.end_s > now_s for loan in loans)

    def confirmed_tables(self, now_s: float) -> frozenset[int]:
        """Return the weight tables that bound all of this data centre."""
        tables = self.weights.digests(now_s)
        for member in self.book.members.values():
            tables &= member.tables
        return tables

    def _live_instances(self) -> dict[str, list[str]]:
        published = self.view.published()
        if published is self._published or published is None:
            return self._live
        live: dict[str, list[str]] = {}
        for instance in published.instances:
            if instance.state is InstanceState.LIVE:
                live.setdefault(instance.data_centre, []).append(instance.id)
        is_same = live == self._live
        self._published, self._live = published, live
        if not is_same:
            self._ranked = {}
        return live

    def _note_entries(self, entries: tuple[Entry, ...]) -> None:
        with self.lock:
            now_s = self.refresh()
            for entry in entries:
                if entry.kind is ObjectKind.ORGANISATION:
                    self._note_organisation(entry, now_s)
            if any(entry.kind is ObjectKind.DATA_CENTRE for entry in entries):
                is_idle = not self.book.is_warm and self.book.held(now_s) <= 0
                self.weights.note_change(now_s, is_idle)
                self.rebase(now_s)

    def _note_organisation(self, entry: Entry, now_s: float) -> None:
        self._changed_s[entry.id] = now_s
        account = self.accounts.get(entry.id)
        if account is None:
            return
        account.advance(now_s)
        if entry.value is None:
            account.set_organisation(
                Organisation(id=entry.id, rate_tokens_per_s=0.0, burst_tokens=0.0)
            )
            return
        account.set_organisation(entry.value)


MAX_REQUEST_S = 3600.0
