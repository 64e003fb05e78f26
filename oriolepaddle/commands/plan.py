"""Which commands the published placements ask for."""

import attrs

from oriolepaddle.commands.command import EngineCommand
from oriolepaddle.commands.state import EngineState
from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import Endpoint, ObjectKind, Placement

__all__ = ["Plan", "current_plan", "make_plans"]


@attrs.define
class Plan:
    """One engine with the command that its placement asks for.

    Attributes:
        placement: The placement's id.
        endpoint: The engine's endpoint.
        command: The command.
        state: What the engine last reported, or None.
        may_load: Whether it is among those that may load now.
    """

    placement: str
    endpoint: Endpoint
    command: EngineCommand
    state: EngineState | None = None
    may_load: bool = False


def make_plans(config: ConfigState, data_centre: str) -> list[Plan]:
    """Return a plan for each placed engine of a data centre, by endpoint id."""
    plans: dict[str, Plan] = {}
    for placement in config.placements():
        plan = _make_plan(config, placement.id)
        if plan is not None and plan.endpoint.data_centre == data_centre:
            _put_newest(plans, plan)
    return [plans[endpoint] for endpoint in sorted(plans)]


def current_plan(config: ConfigState, endpoint: str) -> Plan | None:
    """Return the plan for one endpoint by the configuration of now, or None."""
    plans: dict[str, Plan] = {}
    for placement in config.placements():
        if placement.endpoint == endpoint:
            plan = _make_plan(config, placement.id)
            if plan is not None:
                _put_newest(plans, plan)
    return plans.get(endpoint)


def _put_newest(plans: dict[str, Plan], plan: Plan) -> None:
    """Of several placements of one endpoint, let the highest ticket count."""
    held = plans.get(plan.endpoint.id)
    if held is None or _rank(plan) > _rank(held):
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


def _rank(plan: Plan) -> tuple[int, str]:
    return (plan.command.ticket, plan.placement)
