"""Renews this instance's claim with the members of its data centre."""

from oriolepaddle.limits.cold_start import ColdStart
from oriolepaddle.limits.link import LimitsLink
from oriolepaddle.limits.state import Ledger
from oriolepaddle.peers.gen_py.limits.ttypes import ProbeRequest

__all__ = ["ClaimRenewal"]

ROUNDS_PER_ROSTER = 5


class ClaimRenewal:
    """Keeps the claim alive and lets it grow.

    Args:
        ledger: This instance's accounts and claims.
        link: Calls the peers.
    """

    def __init__(self, ledger: Ledger, link: LimitsLink) -> None:
        self._ledger = ledger
        self._link = link
        self._round = 0
        self._cold_start = ColdStart(ledger, link)

    def allow_cold_start(self) -> None:
        """Take an operator's word that no unlisted instance is running here."""
        self._cold_start.allow()

    def run(self) -> None:
        """Do one round: one call to each member, and probes where needed."""
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            published = ledger.view.published()
            if published is not None:
                ledger.book.note_list(published)
                ledger.rosters.note_listed(published.instances)
            ledger.book.release_vanished(now_s)
            names = self._due_members(now_s)
        for name in names:
            self._renew(name)
        self._settle_weights()
        self._cold_start.run()
        with ledger.lock:
            now_s = ledger.refresh()
            ledger.book.join(now_s)
            ledger.book.shrink(now_s)
            ledger.book.grow(now_s)
            ledger.rebase(now_s)

    def _due_members(self, now_s: float) -> list[str]:
        ledger = self._ledger
        is_steady = ledger.book.is_settled and ledger.weights.is_settled
        interval_s = ledger.settings.steady_interval.total_seconds()
        return [
            name
            for name, member in ledger.book.members.items()
            if not is_steady
            or member.answered_s is None
            or now_s - member.answered_s >= interval_s
        ]

    def _renew(self, name: str) -> None:
        ledger = self._ledger
        if not self._link.is_open(name):
            return
        with ledger.lock:
            now_s = ledger.refresh()
            if name not in ledger.book.members:
                return
            ledger.book.shrink(now_s)
            tables = ledger.weights.digests(now_s)
            request = ledger.book.prepare(name, tables, now_s)
            ledger.rebase(now_s)
        asked_s = ledger.clock.monotonic_s()
        reply = self._link.call(name, "renew", request)
        if reply is None:
            return
        with ledger.lock:
            ledger.refresh()
            ledger.book.accept(name, request, reply, asked_s)
            for roster in reply.rosters:
                ledger.rosters.add(roster.data_centre, roster.instances)

    def _settle_weights(self) -> None:
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            tables = ledger.confirmed_tables(now_s)
            waiting = ledger.weights.waiting_for(tables)
        for centre in waiting or self._next_centre():
            self._probe_centre(centre)
        with ledger.lock:
            now_s = ledger.refresh()
            ledger.weights.settle(ledger.confirmed_tables(now_s))
            ledger.rebase(now_s)

    def _probe_centre(self, centre: str) -> None:
        ledger = self._ledger
        for name in ledger.homes(centre, centre):
            request = ProbeRequest(data_centre=ledger.identity.data_centre)
            reply = self._link.call(name, "probe", request)
            if reply is None or not reply.is_warm:
                continue
            with ledger.lock:
                ledger.weights.confirm(centre, frozenset(reply.tables))
                published = ledger.view.published()
                ledger.rosters.replace(centre, reply.members, published.instances)
            return

    def _next_centre(self) -> tuple[str, ...]:
        """Return, now and then, a data centre whose roster to refresh."""
        self._round += 1
        ledger = self._ledger
        centres = sorted(
            centre.id
            for centre in ledger.config.data_centres()
            if centre.id != ledger.identity.data_centre
        )
        if not centres or self._round % ROUNDS_PER_ROSTER:
            return ()
        return (centres[self._round // ROUNDS_PER_ROSTER % len(centres)],)
