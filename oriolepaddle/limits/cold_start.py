"""Cold start of a data centre without warm instances."""

from oriolepaddle.limits.link import LimitsLink
from oriolepaddle.limits.state import LimiterState
from oriolepaddle.peers.gen_py.limits.ttypes import ProbeReply, ProbeRequest

__all__ = ["ColdStart"]

MAX_PROBES_PER_ROUND = 20


class ColdStart:
    """Lets instances claim their data centre's share without a warm member.

    This is safe only if no other instance of the data centre is still running
    behind a network partition. All listed instances of the other data centres are
    queried for the instances in their rosters. Each of those must be a member that
    has restarted and replied.

    Args:
        state: This instance's accounts and claims.
        link: Sends requests to peers.
    """

    def __init__(self, state: LimiterState, link: LimitsLink) -> None:
        self._state = state
        self._link = link
        self._is_allowed = False
        self._replies: dict[str, ProbeReply | None] = {}

    def allow(self) -> None:
        """Allow a cold start; an operator ruled out unlisted instances here."""
        self._is_allowed = True

    def run(self) -> None:
        """Start if it is due and safe; each round queries some instances."""
        state = self._state
        with state.lock:
            now_s = state.refresh()
            remote_instances = self._remote_instances()
            is_due = state.claims.may_cold_start(now_s)
        if not is_due:
            self._replies.clear()
            self._is_allowed = self._is_allowed and not state.claims.is_warm
            return
        if not self._is_allowed and not self._probe_some(remote_instances):
            return
        replies = list(self._replies.values())
        with state.lock:
            now_s = state.refresh()
            if not state.claims.may_cold_start(now_s):
                return
            if self._is_allowed or self._are_all_accounted_for(replies):
                has_loans = self._is_allowed or self._has_loans(replies, now_s)
                state.claims.cold_start(now_s, has_loans)
        self._replies.clear()

    def _remote_instances(self) -> list[str]:
        state = self._state
        published = state.view.published()
        if published is None:
            return []
        return [
            instance.id
            for instance in published.instances
            if instance.data_centre != state.identity.data_centre
        ]

    def _probe_some(self, remote_instances: list[str]) -> bool:
        """Probe some instances; return whether all have been probed."""
        unqueried = [name for name in remote_instances if name not in self._replies]
        request = ProbeRequest(data_centre=self._state.identity.data_centre)
        for name in unqueried[:MAX_PROBES_PER_ROUND]:
            self._replies[name] = self._link.call(name, "probe", request)
        return len(unqueried) <= MAX_PROBES_PER_ROUND

    def _are_all_accounted_for(self, replies: list[ProbeReply | None]) -> bool:
        state = self._state
        accounted_for = {state.identity.instance, *state.claims.members}
        return all(
            reply is not None
            and accounted_for.issuperset(reply.past)
            and reply.newest == state.weights.newest
            for reply in replies
        )

    def _has_loans(self, replies: list[ProbeReply | None], now_s: float) -> bool:
        state = self._state
        members = state.claims.members.values()
        return (
            state.holds_loans(now_s)
            or any(member.holds_loans for member in members)
            or any(reply is None or reply.holds_loans for reply in replies)
        )
