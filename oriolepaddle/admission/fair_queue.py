"""Fair queueing of waiting requests among organisations."""

import bisect

import attrs

from oriolepaddle.admission.waiter import Waiter

__all__ = ["FairQueue"]

CREDIT_TOKENS = 4000.0
"""Maximum lag in virtual time, as cost over weight, that an idle organisation keeps."""


@attrs.define
class _Flow:
    """One organisation's waiting requests.

    Attributes:
        waiters: The requests in the order of admission.
        virtual_time: Starts at the queue's virtual time and increases with each
            admitted request by its cost over its weight.
    """

    waiters: list[Waiter] = attrs.Factory(list)
    virtual_time: float = 0.0


class FairQueue:
    """Start-time fair queueing among organisations, then by priority and deadline.

    Each organisation has a virtual time that increases by the cost of each of its
    admitted requests over its weight; the one with the lowest virtual time is next. An
    organisation that was idle may lag by at most `CREDIT_TOKENS`: enough to make up for
    short gaps in its requests, but not to save up capacity. Within an organisation the
    highest priority is next, then the earliest deadline.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._virtual_time = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def cost_tokens(self) -> float:
        """Total cost in tokens of the waiting requests."""
        return sum(
            waiter.cost_tokens
            for flow in self._flows.values()
            for waiter in flow.waiters
        )

    def push(self, waiter: Waiter) -> None:
        """Add a request to its organisation's queue."""
        flow = self._flows.get(waiter.organisation)
        if flow is None:
            flow = self._flows[waiter.organisation] = _Flow(
                virtual_time=self._virtual_time
            )
        bisect.insort(flow.waiters, waiter, key=lambda item: item.rank)
        self._count += 1

    def pop(self) -> Waiter | None:
        """Remove and return the next request, or None if no request waits."""
        flow = self._next_flow()
        if flow is None:
            return None
        waiter = flow.waiters.pop(0)
        self._count -= 1
        self._virtual_time = max(self._virtual_time, flow.virtual_time)
        flow.virtual_time += waiter.cost_tokens / waiter.weight
        self._discard_idle_flows()
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits; unknown ones are ignored."""
        flow = self._flows.get(waiter.organisation)
        if flow is not None and waiter in flow.waiters:
            flow.waiters.remove(waiter)
            self._count -= 1

    def pick_victim(self, newcomer: Waiter) -> Waiter:
        """Return the request to drop from a full queue, perhaps the newcomer.

        It is the last request of the organisation with the highest queued cost over
        weight.
        """
        costs = {
            organisation: self._sum_weighted_cost(flow)
            for organisation, flow in self._flows.items()
            if flow.waiters
        }
        newcomer_cost = newcomer.cost_tokens / newcomer.weight
        costs[newcomer.organisation] = (
            costs.get(newcomer.organisation, 0) + newcomer_cost
        )
        most_costly = max(costs, key=lambda organisation: costs[organisation])
        flow = self._flows.get(most_costly, _Flow())
        if most_costly != newcomer.organisation:
            return flow.waiters[-1]
        return max([*flow.waiters[-1:], newcomer], key=lambda item: item.rank)

    def estimate_ahead(self, newcomer: Waiter) -> float:
        """Return the cost in tokens expected to be admitted before a newcomer."""
        flow = self._flows.get(newcomer.organisation)
        waiters = flow.waiters if flow is not None else []
        cost_before = sum(w.cost_tokens for w in waiters if w.rank < newcomer.rank)
        virtual_time = flow.virtual_time if flow is not None else self._virtual_time
        start_time = virtual_time + cost_before / newcomer.weight
        cost_ahead = cost_before
        for organisation, other in self._flows.items():
            if organisation == newcomer.organisation or not other.waiters:
                continue
            weight = other.waiters[0].weight
            backlog = sum(waiter.cost_tokens for waiter in other.waiters)
            cost_ahead += min(
                backlog, max(0.0, start_time - other.virtual_time) * weight
            )
        return cost_ahead

    def _next_flow(self) -> _Flow | None:
        active = [flow for flow in self._flows.values() if flow.waiters]
        if not active:
            return None
        return min(active, key=lambda flow: (flow.virtual_time, flow.waiters[0].rank))

    @staticmethod
    def _sum_weighted_cost(flow: _Flow) -> float:
        return sum(waiter.cost_tokens / waiter.weight for waiter in flow.waiters)

    def _discard_idle_flows(self) -> None:
        # A discarded organisation starts at the current virtual time again, so that an
        # idle organisation never lags by more than the credit.
        idle = [
            organisation
            for organisation, flow in self._flows.items()
            if not flow.waiters
            and flow.virtual_time <= self._virtual_time - CREDIT_TOKENS
        ]
        for organisation in idle:
            del self._flows[organisation]
