"""Time until a ticket is in force at all instances, and the cost of spreading it.

Run with `python -m experiments.spread`. The real classes run on a simulated
network and platform, see `_spread_model`.
"""

import math
import random
import statistics
import sys
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor

import attrs
from rich.console import Console
from rich.table import Table

from experiments._platform_model import (
    Events,
    ModelPlatform,
    PlatformTask,
    PlatformView,
)
from experiments._spread_model import Fleet
from oriolepaddle.config import (
    ConfigState,
    PlatformReader,
    Rejections,
    StalenessGuard,
    parse_ticket,
    write_ticket,
)
from oriolepaddle.config.ticket import Ticket

__all__ = ["SpreadResult", "main", "run_outage", "run_spread"]

SIZES = ((6, 3), (12, 6), (24, 8), (48, 12), (420, 52))
CHANGES_PER_S = 19_000 / 86_400
WARM_UP_S = 20.0
MEASURED_S = 30.0
BURST_S = 10.0
BURST_CHANGES_PER_S = 2.0
SETTLING_S = 10.0
WORKERS = 2
OUTAGE_S = 300.0
AFTER_OUTAGE_S = 60


@attrs.frozen
class SpreadResult:
    """The results of one run.

    Attributes:
        instances: The number of instances.
        data_centres: The number of data centres.
        case: Which instances could read from the platform.
        tickets: The number of tickets issued.
        median_s: Median over tickets of the time until the last instance has them, in
            seconds.
        worst_s: The longest of these times, in seconds.
        unspread: Tickets that were not in force at all instances at the end.
        mean_bytes_per_s: Bytes sent and received per second, mean over instances.
        worst_bytes_per_s: The same for the busiest instance.
        calls_per_s: Calls to the platform in its busiest second.
        near_load_age_s: Median age of one instance's load summaries of its own
            region, in seconds.
        far_load_age_s: The same for other regions; NaN if there are none.
        cpu_share: Processor time of the simulation per instance, as a share of one
            core.
        bytes_by_method: Bytes per second and instance, by method.
    """

    instances: int
    data_centres: int
    case: str
    tickets: int
    median_s: float
    worst_s: float
    unspread: int
    mean_bytes_per_s: float
    worst_bytes_per_s: float
    calls_per_s: int
    near_load_age_s: float
    far_load_age_s: float
    cpu_share: float
    bytes_by_method: dict[str, float]


CASES: dict[str, Callable[[str], bool]] = {
    "platform up": lambda data_centre: True,
    "one DC reads it": lambda data_centre: data_centre == "dc0",
    "platform down": lambda data_centre: False,
}


def run_spread(instances: int, data_centres: int, case: str) -> SpreadResult:
    """Issue tickets at the daily rate, then in a burst, and measure their spread.

    Bytes and calls are measured at the daily rate.
    """
    fleet = Fleet(instances, data_centres)
    fleet.events.run_until(WARM_UP_S)
    for instance in fleet.instances.values():
        instance.platform.is_cut = not CASES[case](instance.listing.data_centre)
    fleet.reset_counts()
    fleet.platform.calls.clear()
    started_s = time.process_time()
    burst_at_s = WARM_UP_S + MEASURED_S
    times_s = _draw_times(WARM_UP_S, burst_at_s, CHANGES_PER_S)
    times_s += _draw_times(burst_at_s, burst_at_s + BURST_S, BURST_CHANGES_PER_S)
    issued = _issue_tickets(fleet, case, times_s)
    fleet.events.run_until(burst_at_s)
    cpu_s = time.process_time() - started_s
    bytes_by_instance = dict(fleet.bytes)
    by_method = dict(fleet.bytes_by_method)
    near_s, far_s = _measure_load_ages_s(fleet)
    calls_per_s = max(fleet.platform.calls.values(), default=0)
    fleet.events.run_until(burst_at_s + BURST_S + SETTLING_S)
    spread_times = list(_measure_spread(fleet, issued))
    complete = [duration for duration in spread_times if duration is not None]
    return SpreadResult(
        instances=instances,
        data_centres=data_centres,
        case=case,
        tickets=len(issued),
        median_s=statistics.median(complete),
        worst_s=max(complete),
        unspread=len(spread_times) - len(complete),
        mean_bytes_per_s=sum(bytes_by_instance.values()) / instances / MEASURED_S,
        worst_bytes_per_s=max(bytes_by_instance.values()) / MEASURED_S,
        calls_per_s=calls_per_s,
        near_load_age_s=near_s,
        far_load_age_s=far_s,
        cpu_share=cpu_s / MEASURED_S / instances,
        bytes_by_method={
            name: 2 * size / instances / MEASURED_S for name, size in by_method.items()
        },
    )


def run_outage(instances: int) -> tuple[int, float]:
    """Measure the load on the platform when all readers return after an outage.

    Returns:
        The calls in the busiest second, and the seconds until the last instance
        has a ticket that was published during the outage.
    """
    events = Events()
    platform = ModelPlatform(events)
    states = []
    for number in range(instances):
        clock, state = events.clock, ConfigState()
        staleness, generator = StalenessGuard(clock, None), random.Random(number)
        reader = PlatformReader(
            clock, platform, state, Rejections(clock), staleness, generator
        )
        for prefix in reader.readers:
            PlatformTask(events, PlatformView(platform), prefix)
        states.append(state)
    events.run_until(WARM_UP_S)
    platform.is_down = True
    platform.publish("tickets/1", write_ticket(_make_ticket(1)))
    events.run_until(WARM_UP_S + OUTAGE_S)
    platform.is_down = False
    platform.calls.clear()
    waited_s = 0
    while any(state.highest_number < 1 for state in states):
        waited_s += 1
        events.run_until(WARM_UP_S + OUTAGE_S + waited_s)
    events.run_until(WARM_UP_S + OUTAGE_S + AFTER_OUTAGE_S)
    return max(platform.calls.values()), float(waited_s)


def _draw_times(start_s: float, end_s: float, rate_per_s: float) -> list[float]:
    generator = random.Random(19_000)
    times_s = []
    at_s = start_s
    while (at_s := at_s + generator.expovariate(rate_per_s)) < end_s:
        times_s.append(at_s)
    return times_s


def _issue_tickets(fleet: Fleet, case: str, times_s: list[float]) -> dict[int, float]:
    generator = random.Random(420)
    issued = dict(enumerate(times_s, start=1))
    for number, at_s in issued.items():
        ticket = _make_ticket(number)
        instance = generator.choice(list(fleet.instances.values()))
        if case == "platform down":
            fleet.events.at(at_s, lambda i=instance, t=ticket: i.state.merge(t.entries))
        else:
            text = write_ticket(ticket)
            key = f"tickets/{number}"
            fleet.events.at(at_s, lambda k=key, t=text: fleet.platform.publish(k, t))
    return issued


def _measure_spread(fleet: Fleet, issued: dict[int, float]) -> Iterator[float | None]:
    for number, at_s in issued.items():
        in_force_at_s = fleet.in_force_at_s[number]
        is_everywhere = len(in_force_at_s) == len(fleet.instances)
        yield max(in_force_at_s.values()) - at_s if is_everywhere else None


def _measure_load_ages_s(fleet: Fleet) -> tuple[float, float]:
    instance = next(iter(fleet.instances.values()))
    region = fleet.region_of(instance.listing.data_centre)
    ages: dict[bool, list[float]] = {True: [], False: []}
    for summary in instance.membership.load_summaries():
        is_near = fleet.region_of(summary.data_centre) == region
        ages[is_near].append(summary.age.total_seconds())
    near, far = (
        statistics.median(ages[is_near]) if ages[is_near] else math.nan
        for is_near in (True, False)
    )
    return near, far


def _make_ticket(number: int) -> Ticket:
    key = f"key-{number:05d}"
    value = f'{{"organisation": "organisation-{number:05d}", "digest": "{"0" * 64}"}}'
    text = f'{{"kind": "key", "id": "{key}", "value": {value}}}'
    return parse_ticket(f'{{"number": {number}, "objects": [{text}]}}')


def _print_results(results: list[SpreadResult]) -> None:
    table = Table(title="Spread of tickets at 19,000 a day")
    columns = ("instances", "data centres", "case", "tickets", "not spread")
    columns += ("in force, median s", "worst s", "B/s mean", "B/s worst")
    columns += ("platform calls/s", "load age near s", "far s", "core %")
    for column in columns:
        table.add_column(column, justify="right", no_wrap=column == "case")
    for result in results:
        table.add_row(
            str(result.instances),
            str(result.data_centres),
            result.case,
            str(result.tickets),
            str(result.unspread),
            f"{result.median_s:.2f}",
            f"{result.worst_s:.2f}",
            f"{result.mean_bytes_per_s:.0f}",
            f"{result.worst_bytes_per_s:.0f}",
            str(result.calls_per_s),
            f"{result.near_load_age_s:.1f}",
            f"{result.far_load_age_s:.1f}",
            f"{100 * result.cpu_share:.2f}",
        )
    console = Console(width=150)
    console.print(table)
    for name, rate in sorted(results[-1].bytes_by_method.items()):
        console.print(f"last row, {name}: {rate:.0f} B/s sent and received")


def main(arguments: list[str]) -> None:
    """Run all cases, optionally up to a number of instances, and print the table."""
    largest = int(arguments[0]) if arguments else SIZES[-1][0]
    runs = [
        (instances, data_centres, case)
        for instances, data_centres in SIZES
        for case in CASES
        if instances <= largest
    ]
    with ProcessPoolExecutor(WORKERS) as executor:
        results = list(executor.map(run_spread, *zip(*runs, strict=True)))
    _print_results(results)
    calls, waited_s = run_outage(largest)
    print(
        f"after an outage of {OUTAGE_S:.0f} s, {largest} instances: "
        f"{calls} calls in the busiest second, last instance after {waited_s:.0f} s"
    )


if __name__ == "__main__":
    main(sys.argv[1:])
