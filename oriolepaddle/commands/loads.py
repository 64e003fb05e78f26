"""Which engines of a data centre may load now."""

from collections.abc import Callable, Iterable

from oriolepaddle.commands.plan import Plan
from oriolepaddle.membership.rendezvous import rank_instances

__all__ = ["grant_loads"]


def grant_loads(
    plans: Iterable[Plan],
    max_loads: int,
    is_sent: Callable[[Plan], bool],
    is_waiting: Callable[[Plan], bool],
) -> None:
    """Let the first engines that need a load have the free places.

    The order is a hash of the endpoints, so that two issuers which read the
    same states choose the same engines and need not agree beforehand.

    Args:
        plans: The plans, with their states; `may_load` is set.
        max_loads: Engines that load side by side.
        is_sent: Whether a load was sent that the engine may not report yet.
        is_waiting: Whether the engine is backing off.
    """
    readable = [plan for plan in plans if plan.state is not None]
    needing = {}
    busy = 0
    for plan in readable:
        if plan.state.is_loading:
            busy += 1
        elif plan.state.needs_load(plan.command):
            if is_sent(plan):
                busy += 1
            elif not is_waiting(plan):
                needing[plan.endpoint.id] = plan
    free = max(0, max_loads - busy)
    for endpoint in rank_instances(needing, "load")[:free]:
        needing[endpoint].may_load = True
