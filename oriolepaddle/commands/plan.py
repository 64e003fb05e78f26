"""Commands that the published placements require."""

import attrs

from oriolepaddle.commands.command import EngineCommand
from oriolepaddle.commands.state import EngineState
from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import Endpoint, ObjectKind, Placement

__all__ = ["Plan", "current_plan", "make_plans"]


@attrs.define
class Plan:
    """An engine and the command that its placement requires.

    Attributes:
        placement: Id of the placement.
        endpoint: The engine's endpoint.
        command: Command that sets the published state.
        state: State that the engine last reported, or None if unreadable.
        may_load: Whether the engine was granted a load slot.
    """

    placement: str
    endpoint: Endpoint
    command: EngineCommand
    state: EngineState | None = None
    may_load: bool = False


def make_plans(config: ConfigState, data_centre: str) -> list[Plan]:
    """Return the plans of a data centre's engines, sorted by endpoint id."""
    plans: dict[str, Plan] = {}
    for placement in config.placements():
        plan = _make_plan(config, placement.id)
        if plan is not None and plan.endpoint.data_centre == data_centre:
            _put_newest(plans, plan)
    return [plans[endpoint] for endpoint in sorted(plans)]


def current_plan(config: ConfigState, endpoint: str) -> Plan | None:
    """Return the plan for an endpoint in the current configuration, or None."""
    plans: dict[str, Plan] = {}
    for placement in config.placements():
        if placement.endpoint == endpoint:
            plan = _make_plan(config, placement.id)
            if plan is not None:
                _put_newest(plans, plan)
    return plans.get(endpoint)


def _put_newest(plans: dict[str, Plan], plan: Plan) -> None:
    """Add a plan unless one with a higher ticket exists for its endpoint."""
    other = plans.get(plan.endpoint.id)
    if other is None or _precedence(plan) > _precedence(other):
        plans[plan.endpoint.id] = plan


def _make_plan(config: ConfigState, placement_id: str) -> Plan | None:
    entry = config.entry(ObjectKind.PLACEMENT, placement_id)
    placement = entry.value if entry else None
    if not isinstance(placement, Placement):
        return None
    endpoint = config.endpoint(placement.endpoint)
    if endpoint is None or endpoint.leaving:
        return None
    command = EngineCommand(
        endpoint=endpoint.id,
        ticket=entry.number,
        model=placement.model,
        version=placement.version,
        adapters=placement.adapters,
        role=placement.role,
    )
    return Plan(placement_id, endpoint, command)


def _precedence(plan: Plan) -> tuple[int, str]:
    return (plan.command.ticket, plan.placement)
