"""Waiting requests by organisation."""

import bisect

import attrs

from oriolepaddle.admission.waiter import Waiter

__all__ = ["FairQueue"]

CREDIT_TOKENS = 4000.0
"""Cost over weight by which an organisation that was idle may stay behind."""


@attrs.define
class _Flow:
    """One organisation's requests.

    Attributes:
        waiters: In the order in which they go on.
        used: Virtual time up to which it was served: cost over weight.
    """

    waiters: list[Waiter] = attrs.Factory(list)
    used: float = 0.0


class FairQueue:
    """Start-time fair queueing among organisations, then by deadline.

    Each organisation has a virtual time that grows by the cost of each of its
    admitted requests over its weight; the one furthest behind goes next. One
    that comes back from a pause may be behind by `CREDIT_TOKENS` at most: enough
    to make up for short gaps in its requests, and no more saved up. Inside an
    organisation the earliest deadline goes next.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._virtual = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def cost_tokens(self) -> float:
        """The cost in tokens of all that wait."""
        return sum(
            waiter.cost_tokens
            for flow in self._flows.values()
            for waiter in flow.waiters
        )

    def push(self, waiter: Waiter) -> None:
        """Put a request into its organisation's queue."""
        flow = self._flows.get(waiter.organisation)
        if flow is None:
            flow = self._flows[waiter.organisation] = _Flow(used=self._virtual)
        bisect.insort(flow.waiters, waiter, key=lambda item: item.rank)
        self._count += 1

    def pop(self) -> Waiter | None:
        """Take out the request that goes next, or None."""
        flow = self._next_flow()
        if flow is None:
            return None
        waiter = flow.waiters.pop(0)
        self._count -= 1
        self._virtual = max(self._virtual, flow.used)
        flow.used += waiter.cost_tokens / waiter.weight
        self._forget_idle()
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Take out a request that waits no longer; unknown ones are ignored."""
        flow = self._flows.get(waiter.organisation)
        if flow is not None and waiter in flow.waiters:
            flow.waiters.remove(waiter)
            self._count -= 1

    def pick_victim(self, newcomer: Waiter) -> Waiter:
        """Return who has to go when the queue is full, perhaps the newcomer.

        It is the last in turn of the organisation with the longest queue for
        its weight.
        """
        lengths = {
            name: self._sum_cost(flow)
            for name, flow in self._flows.items()
            if flow.waiters
        }
        added = newcomer.cost_tokens / newcomer.weight
        lengths[newcomer.organisation] = lengths.get(newcomer.organisation, 0) + added
        longest = max(lengths, key=lambda name: lengths[name])
        flow = self._flows.get(longest, _Flow())
        if longest != newcomer.organisation:
            return flow.waiters[-1]
        return max([*flow.waiters[-1:], newcomer], key=lambda item: item.rank)

    def estimate_ahead(self, newcomer: Waiter) -> float:
        """Return the cost in tokens that goes on before a newcomer."""
        flow = self._flows.get(newcomer.organisation)
        held = flow.waiters if flow is not None else []
        before = sum(w.cost_tokens for w in held if w.rank < newcomer.rank)
        used = flow.used if flow is not None else self._virtual
        start = used + before / newcomer.weight
        ahead = before
        for name, other in self._flows.items():
            if name == newcomer.organisation or not other.waiters:
                continue
            weight = other.waiters[0].weight
            backlog = sum(waiter.cost_tokens for waiter in other.waiters)
            ahead += min(backlog, max(0.0, start - other.used) * weight)
        return ahead

    def _next_flow(self) -> _Flow | None:
        active = [flow for flow in self._flows.values() if flow.waiters]
        if not active:
            return None
        return min(active, key=lambda flow: (flow.used, flow.waiters[0].rank))

    @staticmethod
    def _sum_cost(flow: _Flow) -> float:
        return sum(waiter.cost_tokens / waiter.weight for waiter in flow.waiters)

    def _forget_idle(self) -> None:
        # One that is forgotten starts at the present virtual time again, so that
        # no idle organisation is ever further behind than the credit.
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.waiters and flow.used <= self._virtual - CREDIT_TOKENS
        ]
        for name in idle:
            del self._flows[name]
