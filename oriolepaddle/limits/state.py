"""State of one instance's limiter, guarded by one lock."""

import threading

from oriolepaddle.clock import Clock
from oriolepaddle.config import ConfigState, Entry
from oriolepaddle.config.model import ObjectKind, Organisation
from oriolepaddle.limits.account import Account
from oriolepaddle.limits.claims import ClaimManager
from oriolepaddle.limits.rosters import RosterTable
from oriolepaddle.limits.settings import LimitSettings
from oriolepaddle.limits.weights import WeightHistory
from oriolepaddle.membership import MembershipView
from oriolepaddle.membership.rendezvous import rank_instances
from oriolepaddle.publication import InstanceList, InstanceState

__all__ = ["LimiterState"]


class LimiterState:
    """Claims, weights and accounts.

    Callers hold `lock`, and call `refresh` before they read or change the state.

    Args:
        clock: The clock.
        view: This instance's view of the fleet.
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
        self.claims = ClaimManager(self.identity, settings)
        self.weights = WeightHistory(config, self.identity.data_centre, settings.loan_s)
        self.accounts: dict[str, Account] = {}
        self.rosters = RosterTable(self.identity.data_centre)
        self.pending_borrows = 0
        self._base_share = 0.0
        self._lendable_base_share = 0.0
        self._base_raised_s = now_s
        self._organisation_changed_s: dict[str, float] = {}
        self._published: InstanceList | None = None
        self._live_instances: dict[str, list[str]] = {}
        self._ranked_instances: dict[tuple[str, str], list[str]] = {}
        config.add_listener(self._apply_entries)

    @property
    def base_share(self) -> float:
        """This instance's fraction of each rate and burst, before loans."""
        return self._base_share

    def refresh(self) -> float:
        """Release an expired claim and return the monotonic time.

        Each decision calls it first, because the process may have been paused
        since the last decision.
        """
        now_s = self.clock.monotonic_s()
        deadline_s = self.claims.mint_deadline_s()
        if self.claims.is_warm and now_s > deadline_s:
            for account in self.accounts.values():
                account.advance(deadline_s)
            self.claims.lapse(now_s)
            self.update_base_shares(deadline_s)
        return now_s

    def update_base_shares(self, now_s: float) -> None:
        """Apply a changed claim or changed weights to all accounts."""
        base_share = self.claims.claim * self.weights.fraction
        lendable_base_share = self.claims.lendable_claim * self.weights.fraction
        if (base_share, lendable_base_share) == (
            self._base_share,
            self._lendable_base_share,
        ):
            return
        if base_share > self._base_share:
            self._base_raised_s = now_s
        self._base_share = base_share
        self._lendable_base_share = lendable_base_share
        for account in self.accounts.values():
            account.advance(now_s)
            account.set_base_share(base_share, lendable_base_share)

    def account(self, organisation: Organisation, now_s: float) -> Account:
        """Return an organisation's account, advanced to `now_s`."""
        account = self.accounts.get(organisation.id)
        if account is None:
            since_s = max(
                self._base_raised_s,
                self._organisation_changed_s.get(organisation.id, 0.0),
            )
            account = Account(organisation, since_s, self.settings.max_clock_drift)
            account.set_base_share(self._base_share, self._lendable_base_share)
            self.accounts[organisation.id] = account
        account.advance(now_s)
        account.set_organisation(organisation)
        return account

    def find_account(self, organisation_id: str, now_s: float) -> Account | None:
        """Return the account of a configured organisation, or None."""
        organisation = self.config.organisation(organisation_id)
        if organisation is None:
            return None
        return self.account(organisation, now_s)

    def drop_idle_accounts(self, now_s: float) -> None:
        """Drop idle accounts of organisations without recent requests."""
        period_s = self.settings.active_for.total_seconds()
        for name, account in list(self.accounts.items()):
            if account.bucket.open_debits:
                account.bucket.expire_debits(now_s - MAX_REQUEST_S)
            if account.demand.is_active(now_s, period_s) or account.is_requested(
                now_s, period_s
            ):
                continue
            account.advance(now_s)
            if account.is_idle:
                del self.accounts[name]

    def rank_pooling_instances(
        self, organisation_id: str, data_centre: str
    ) -> list[str]:
        """Rank a data centre's instances by rendezvous hash of an organisation."""
        names = self._find_live_instances().get(data_centre, ())
        key = (organisation_id, data_centre)
        ranked = self._ranked_instances.get(key)
        if ranked is None:
            ranked = list(rank_instances(names, organisation_id))
            self._ranked_instances[key] = ranked
        return ranked

    def pooling_instance(
        self, organisation_id: str, reachable: frozenset[str] | None = None
    ) -> str:
        """Return the instance of this data centre that pools an organisation's tokens.

        Args:
            organisation_id: The organisation.
            reachable: The reachable peers, if the caller has already looked them up.
        """
        own = self.identity
        if reachable is None:
            reachable = self.view.reachable()
        members = self.claims.members
        for name in self.rank_pooling_instances(organisation_id, own.data_centre):
            if name == own.instance and not self.claims.is_draining:
                return name
            member = members.get(name)
            is_draining = member is not None and member.is_draining
            if name in reachable and not is_draining:
                return name
        return own.instance

    def holds_loans(self, now_s: float) -> bool:
        """Return whether borrowed loans are active or being requested."""
        if self.pending_borrows > 0:
            return True
        loans = (
            loan
            for account in self.accounts.values()
            for loan in account.borrowed.values()
        )
        return any(loan.end_s > now_s for loan in loans)

    def confirmed_tables(self, now_s: float) -> frozenset[int]:
        """Return the weight tables that all members of this data centre obey."""
        tables = self.weights.digests(now_s)
        for member in self.claims.members.values():
            tables &= member.weight_tables
        return tables

    def _find_live_instances(self) -> dict[str, list[str]]:
        published = self.view.published()
        if published is self._published or published is None:
            return self._live_instances
        live: dict[str, list[str]] = {}
        for instance in published.instances:
            if instance.state is InstanceState.LIVE:
                live.setdefault(instance.data_centre, []).append(instance.id)
        is_same = live == self._live_instances
        self._published, self._live_instances = published, live
        if not is_same:
            self._ranked_instances = {}
        return live

    def _apply_entries(self, entries: tuple[Entry, ...]) -> None:
        with self.lock:
            now_s = self.refresh()
            for entry in entries:
                if entry.kind is ObjectKind.ORGANISATION:
                    self._apply_organisation(entry, now_s)
            if any(entry.kind is ObjectKind.DATA_CENTRE for entry in entries):
                is_idle = (
                    not self.claims.is_warm and self.claims.outstanding(now_s) <= 0
                )
                self.weights.record_change(now_s, is_idle)
                self.update_base_shares(now_s)

    def _apply_organisation(self, entry: Entry, now_s: float) -> None:
        self._organisation_changed_s[entry.id] = now_s
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
