"""Print measured cost slopes and the load that they imply at the target scale.

Run with `python -m experiments.capacity`. Times are processor time of this
machine; they vary from run to run and are higher while it is busy.
"""

from collections.abc import Mapping

from rich.console import Console
from rich.table import Table

from experiments.capacity.configuration import (
    measure_configuration,
    measure_ticket_bytes,
)
from experiments.capacity.cpu import ProcessCpuTime, ThreadCpuTime
from experiments.capacity.engines import measure_engines
from experiments.capacity.limits import measure_limits
from experiments.capacity.membership import make_membership_series, measure_fleets
from experiments.capacity.orders import measure_orders
from experiments.capacity.projection import CONTROL_LIMITS, TaskLoad, add_loads
from experiments.capacity.series import Series
from experiments.capacity.target import TargetScale
from experiments.capacity.tasks import project_tasks
from experiments.capacity.traffic import measure_traffic

__all__ = ["main"]

WIDTH = 150


def main() -> None:
    """Measure all series and print the slopes, the projected load and a summary."""
    console = Console(width=WIDTH)
    cpu = ProcessCpuTime()
    series = measure_traffic(cpu)
    series |= measure_configuration(cpu)
    series |= measure_engines(cpu, ThreadCpuTime())
    series |= measure_orders()
    series |= make_membership_series(measure_fleets(cpu))
    series |= measure_limits(cpu)
    console.print(_make_slopes(series))
    target, ticket_bytes = TargetScale(), measure_ticket_bytes()
    console.print(_make_loads(project_tasks(series, target, ticket_bytes)))
    console.print(
        f"each instance: {target.requests_each_per_s:.1f} requests/s, "
        f"{target.tokens_each_per_s:.0f} tokens/s, {target.local_endpoints:.0f} "
        f"endpoints in its data centre; a ticket of one key is {ticket_bytes} B"
    )
    console.print(
        f"configuration service, all instances: {target.steady_calls_per_s:.0f} "
        "calls/s by arithmetic (limit 2000); the minute after an outage: "
        "python -m experiments.spread"
    )


def _make_slopes(series: Mapping[str, Series]) -> Table:
    table = Table(title="Slopes")
    for column in ("task", "against", "sizes", "unit", "measured", "base", "slope"):
        table.add_column(column)
    for item in series.values():
        table.add_row(
            item.task,
            item.size_name,
            " ".join(str(size) for size in item.sizes),
            item.unit,
            " ".join(f"{cost:.5g}" for cost in item.costs),
            f"{item.line.intercept:.4g}",
            f"{item.line.slope:.4g}",
        )
    return table


def _make_loads(loads: list[TaskLoad]) -> Table:
    table = Table(title="Projected load of one instance")
    columns = ("task", "control", "state MB", "messages/s", "B/s", "core %")
    for column in columns:
        table.add_column(column, justify="right" if column != "task" else "left")
    footer_loads = [
        add_loads("caller traffic", loads, is_control=False),
        add_loads("control", loads, is_control=True),
        CONTROL_LIMITS,
    ]
    for load in loads:
        _add_load(table, load)
    table.add_section()
    for load in footer_loads:
        _add_load(table, load)
    return table


def _add_load(table: Table, load: TaskLoad) -> None:
    table.add_row(
        load.task,
        "yes" if load.is_control else "",
        _format(load.state_bytes / 1e6, 1),
        _format(load.messages_per_s, 2),
        _format(load.bytes_per_s, 0),
        _format(100 * load.core_share, 2),
    )


def _format(value: float, digits: int) -> str:
    """Return the formatted value, or a dash for 0, measured or not."""
    return f"{value:.{digits}f}" if value else "-"


if __name__ == "__main__":
    main()
