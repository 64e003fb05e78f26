"""Selection of the engines of a data centre that may load now."""

from collections.abc import Callable, Iterable

from oriolepaddle.commands.plan import Plan
from oriolepaddle.membership.rendezvous import rank_instances

__all__ = ["grant_loads"]


def grant_loads(
    plans: Iterable[Plan],
    max_loads: int,
    was_sent: Callable[[Plan], bool],
    is_backing_off: Callable[[Plan], bool],
) -> None:
    """Grant the free load slots to engines that need a load.

    Engines are ranked by a hash of the endpoint ids, so that two issuers that
    read the same states choose the same engines without coordination.

    Args:
        plans: Plans with the engines' states; sets their `may_load`.
        max_loads: Maximum number of concurrent loads.
        was_sent: Returns whether a load was sent that the engine may not report yet.
        is_backing_off: Returns whether commands to the engine are backing off.
    """
    readable = [plan for plan in plans if plan.state is not None]
    candidates = {}
    loading = 0
    for plan in readable:
        if plan.state.is_loading:
            loading += 1
        elif plan.state.needs_load(plan.command):
            if was_sent(plan):
                loading += 1
            elif not is_backing_off(plan):
                candidates[plan.endpoint.id] = plan
    free_slots = max(0, max_loads - loading)
    for endpoint in rank_instances(candidates, "load")[:free_slots]:
        candidates[endpoint].may_load = True
