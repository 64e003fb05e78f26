"""Renews this instance's claim with the members of its data centre."""

from oriolepaddle.limits.cold_start import ColdStart
from oriolepaddle.limits.link import LimitsLink
from oriolepaddle.limits.state import LimiterState
from oriolepaddle.peers.gen_py.limits.ttypes import ProbeRequest

__all__ = ["ClaimRenewal"]

ROUNDS_PER_ROSTER = 5


class ClaimRenewal:
    """Renews the claim, and lets it grow or start cold.

    Args:
        state: This instance's accounts and claims.
        link: Sends requests to peers.
    """

    def __init__(self, state: LimiterState, link: LimitsLink) -> None:
        self._state = state
        self._link = link
        self._round = 0
        self._cold_start = ColdStart(state, link)

    def allow_cold_start(self) -> None:
        """Allow a cold start; an operator ruled out unlisted instances here."""
        self._cold_start.allow()

    def run(self) -> None:
        """Run one round: renew with each due member, and probe as needed."""
        state = self._state
        with state.lock:
            now_s = state.refresh()
            published = state.view.published()
            if published is not None:
                state.claims.apply_list(published)
                state.rosters.add_listed(published.instances)
            state.claims.release_expired_members(now_s)
            names = self._due_members(now_s)
        for name in names:
            self._renew(name)
        self._settle_weights()
        self._cold_start.run()
        with state.lock:
            now_s = state.refresh()
            state.claims.try_join(now_s)
            state.claims.shrink(now_s)
            state.claims.grow(now_s)
            state.update_base_shares(now_s)

    def _due_members(self, now_s: float) -> list[str]:
        state = self._state
        is_steady = state.claims.is_settled and state.weights.is_settled
        interval_s = state.settings.steady_interval.total_seconds()
        return [
            name
            for name, member in state.claims.members.items()
            if not is_steady
            or member.last_renewed_s is None
            or now_s - member.last_renewed_s >= interval_s
        ]

    def _renew(self, name: str) -> None:
        state = self._state
        if not self._link.may_call(name):
            return
        with state.lock:
            now_s = state.refresh()
            if name not in state.claims.members:
                return
            state.claims.shrink(now_s)
            tables = state.weights.digests(now_s)
            request = state.claims.make_renewal(name, tables, now_s)
            state.update_base_shares(now_s)
        asked_s = state.clock.monotonic_s()
        reply = self._link.call(name, "renew", request)
        if reply is None:
            return
        with state.lock:
            state.refresh()
            state.claims.apply_reply(name, request, reply, asked_s)
            for roster in reply.rosters:
                state.rosters.add(roster.data_centre, roster.instances)

    def _settle_weights(self) -> None:
        state = self._state
        with state.lock:
            now_s = state.refresh()
            tables = state.confirmed_tables(now_s)
            waiting = state.weights.unconfirmed_centres(tables)
        for centre in waiting or self._next_centre():
            self._probe_centre(centre)
        with state.lock:
            now_s = state.refresh()
            state.weights.drop_superseded(state.confirmed_tables(now_s))
            state.update_base_shares(now_s)

    def _probe_centre(self, centre: str) -> None:
        state = self._state
        for name in state.rank_pooling_instances(centre, centre):
            request = ProbeRequest(data_centre=state.identity.data_centre)
            reply = self._link.call(name, "probe", request)
            if reply is None or not reply.is_warm:
                continue
            with state.lock:
                state.weights.record_confirmation(centre, frozenset(reply.tables))
                published = state.view.published()
                state.rosters.replace(centre, reply.members, published.instances)
            return

    def _next_centre(self) -> tuple[str, ...]:
        """Return a data centre whose roster to refresh, once every few rounds."""
        self._round += 1
        state = self._state
        centres = sorted(
            centre.id
            for centre in state.config.data_centres()
            if centre.id != state.identity.data_centre
        )
        if not centres or self._round % ROUNDS_PER_ROSTER:
            return ()
        return (centres[self._round // ROUNDS_PER_ROSTER % len(centres)],)
