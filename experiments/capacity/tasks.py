"""Projection of the measured series to the load of each task."""

from collections.abc import Mapping

from experiments.capacity.projection import TaskLoad, share_of_core
from experiments.capacity.series import Series
from experiments.capacity.target import TargetScale
from oriolepaddle.orders import OrderLimits

__all__ = ["project_tasks"]

CHOICES_PER_REQUEST = 2
POLLS_PER_S = 10.0
SUMMARIES_PER_S = 1.0


def project_tasks(
    series: Mapping[str, Series], target: TargetScale, ticket_bytes: int
) -> list[TaskLoad]:
    """Return the load of each task on one instance.

    Args:
        series: All series by name.
        target: The target scale.
        ticket_bytes: Size of a ticket with one object in bytes.
    """
    return [
        *_project_traffic(series, target),
        _project_orders(series, target),
        _project_configuration(series, target, ticket_bytes),
        _project_membership(series, target),
        _project_limits(series, target),
        *_project_engines(series, target),
    ]


def _project_traffic(
    series: Mapping[str, Series], target: TargetScale
) -> list[TaskLoad]:
    endpoints, characters = target.local_endpoints, target.prompt_characters
    steps = {
        "routing choices": CHOICES_PER_REQUEST * series["choose"].line.at(endpoints),
        "admission": series["admit"].line.at(endpoints),
        "parse, authenticate, hash": series["parse"].line.at(characters)
        + series["hash"].line.at(characters),
        "quarantine's checks": series["check"].line.at(characters),
        "reserve and settle tokens": _mean(series["reserve"]),
        "retries": target.failed_share * series["retry"].line.at(1_000),
    }
    requests_per_s = target.requests_each_per_s
    loads = [
        TaskLoad(
            f"requests: {name}", False, core_share=share_of_core(cost, requests_per_s)
        )
        for name, cost in steps.items()
    ]
    relay = share_of_core(series["relay"].line.slope, target.tokens_each_per_s)
    tokens_per_s = target.tokens_each_per_s
    loads.append(TaskLoad("relay of tokens", False, 0.0, tokens_per_s, 0.0, relay))
    return loads


def _project_orders(series: Mapping[str, Series], target: TargetScale) -> TaskLoad:
    orders_per_s = target.requests_each_per_s * target.order_share
    limits = OrderLimits()
    stored_orders = orders_per_s * limits.lifetime.total_seconds()
    memory_bytes = min(
        limits.max_bytes, stored_orders * series["order_memory"].line.slope
    )
    cost_us = sum(_mean(series[name]) for name in ("order_issue", "order_run"))
    core_share = share_of_core(cost_us, orders_per_s)
    return TaskLoad("orders", False, memory_bytes, core_share=core_share)


def _project_configuration(
    series: Mapping[str, Series], target: TargetScale, ticket_bytes: int
) -> TaskLoad:
    # Tombstones: one day of withdrawn objects; floors remove older tombstones.
    counts = {
        "organisation": target.organisations,
        "key": target.organisations,
        "endpoint": target.endpoints,
        "tombstone": target.changes_per_day,
    }
    return TaskLoad(
        "configuration from the platform",
        True,
        sum(count * series[kind].line.slope for kind, count in counts.items()),
        target.steady_calls_per_s / target.instances,
        target.changes_per_s * ticket_bytes,
        share_of_core(series["ticket"].line.at(1), target.changes_per_s),
    )


def _project_membership(series: Mapping[str, Series], target: TargetScale) -> TaskLoad:
    messages_per_s = series["heartbeat_messages"].line.at(target.instances)
    return TaskLoad(
        "membership and load summaries",
        True,
        series["peer_memory"].line.at(target.instances),
        messages_per_s,
        series["heartbeat_bytes"].line.at(target.instances),
        share_of_core(series["heartbeat_us"].line.at(target.instances), messages_per_s),
    )


def _project_limits(series: Mapping[str, Series], target: TargetScale) -> TaskLoad:
    active = target.active_organisations
    # The measured fleet also served requests, whose cost counts as caller traffic.
    cost_us = series["limit_share"].line.at(active)
    cost_us -= target.requests_each_per_s * _mean(series["reserve"])
    return TaskLoad(
        "limits",
        True,
        series["limit_memory"].line.at(active),
        series["limit_calls"].line.at(active),
        series["limit_bytes"].line.at(active),
        share_of_core(cost_us, 1.0),
    )


def _project_engines(
    series: Mapping[str, Series], target: TargetScale
) -> list[TaskLoad]:
    scan_us = series["scan"].line.at(target.endpoints)
    poll_us = series["poll"].line.slope + _mean(series["report"])
    summary_us = series["summary"].line.at(target.local_endpoints)
    return [
        TaskLoad(
            "search for due engines",
            True,
            core_share=share_of_core(scan_us, POLLS_PER_S),
        ),
        TaskLoad(
            "engine polls and load reports",
            True,
            0.0,
            2 * POLLS_PER_S,
            0.0,
            share_of_core(poll_us, POLLS_PER_S),
        ),
        TaskLoad(
            "own load summary",
            True,
            core_share=share_of_core(summary_us, SUMMARIES_PER_S),
        ),
    ]


def _mean(series: Series) -> float:
    return sum(series.costs) / len(series.costs)
