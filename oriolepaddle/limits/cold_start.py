"""The start of a data centre of which no instance is warm."""

from oriolepaddle.limits.link import LimitsLink
from oriolepaddle.limits.state import Ledger
from oriolepaddle.peers.gen_py.limits.ttypes import ProbeReply, ProbeRequest

__all__ = ["ColdStart"]

MAX_PROBES = 20


class ColdStart:
    """Lets instances claim their data centre's share without an elder.

    That is safe only if no other instance of the data centre is running, cut
    off. All listed instances of the other data centres are asked which ones
    they remember; each of those must have started anew and have answered.

    Args:
        ledger: This instance's accounts and claims.
        link: Calls the peers.
    """

    def __init__(self, ledger: Ledger, link: LimitsLink) -> None:
        self._ledger = ledger
        self._link = link
        self._is_allowed = False
        self._asked: dict[str, ProbeReply | None] = {}

    def allow(self) -> None:
        """Take an operator's word that no unlisted instance is running here."""
        self._is_allowed = True

    def run(self) -> None:
        """Start, if that is due and safe; one round asks some instances."""
        ledger = self._ledger
        with ledger.lock:
            now_s = ledger.refresh()
            others = self._others()
            is_due = ledger.book.is_alone_cold(now_s)
        if not is_due:
            self._asked.clear()
            self._is_allowed = self._is_allowed and not ledger.book.is_warm
            return
        if not self._is_allowed and not self._ask(others):
            return
        replies = list(self._asked.values())
        with ledger.lock:
            now_s = ledger.refresh()
            if not ledger.book.is_alone_cold(now_s):
                return
            if self._is_allowed or self._are_all_here(replies):
                has_loans = self._is_allowed or self._has_loans(replies, now_s)
                ledger.book.start(now_s, has_loans)
        self._asked.clear()

    def _others(self) -> list[str]:
        ledger = self._ledger
        published = ledger.view.published()
        if published is None:
            return []
        return [
            instance.id
            for instance in published.instances
            if instance.data_centre != ledger.identity.data_centre
        ]

    def _ask(self, others: list[str]) -> bool:
        """Ask some instances; return whether all have been asked."""
        waiting = [name for name in others if name not in self._asked]
        request = ProbeRequest(data_centre=self._ledger.identity.data_centre)
        for name in waiting[:MAX_PROBES]:
            self._asked[name] = self._link.call(name, "probe", request)
        return len(waiting) <= MAX_PROBES

    def _are_all_here(self, replies: list[ProbeReply | None]) -> bool:
        ledger = self._ledger
        here = {ledger.identity.instance, *ledger.book.members}
        return all(
            reply is not None
            and here.issuperset(reply.past)
            and reply.newest == ledger.weights.newest
            for reply in replies
        )

    def _has_loans(self, replies: list[ProbeReply | None], now_s: float) -> bool:
        ledger = self._ledger
        members = ledger.book.members.values()
        return (
            ledger.holds_loans(now_s)
            or any(member.holds_loans for member in members)
            or any(reply is None or reply.holds_loans for reply in replies)
        )
