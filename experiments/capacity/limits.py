"""Cost of the shared limits, measured with `experiments.limits`."""

from experiments.capacity.cpu import CpuTimeReader
from experiments.capacity.series import Series, measure_memory_bytes, measure_us
from experiments.limits.cost import CostCase, InstanceCost, measure_cost
from experiments.limits.fleet import Fleet
from oriolepaddle.config import Entry
from oriolepaddle.config.model import DataCentre, ObjectKind, Organisation
from oriolepaddle.limits import LimitSettings, SharedTokenLimiter

__all__ = ["measure_limits"]

DATA_CENTRES = 3
INSTANCES_PER_DATA_CENTRE = 8
REQUESTS_PER_S = 21.0
ORGANISATIONS = (100, 400, 1_300)
LIMITER_ORGANISATIONS = (100, 1_000, 4_000)
STEPS_PER_ROUND = 200
WARM_UP_S = 180.0
COLUMNS = {
    "limit_bytes": (
        "limits' bytes a second, callers at home",
        "B/s",
        "bytes_per_s",
        1.0,
    ),
    "limit_calls": ("limits' calls a second", "1/s", "calls_per_s", 1.0),
    "limit_share": ("limits' processor time", "us/s", "core_share", 1e6),
}


def measure_limits(cpu: CpuTimeReader) -> dict[str, Series]:
    """Return the series by the number of organisations with traffic."""
    costs = [
        measure_cost(
            CostCase(
                DATA_CENTRES,
                INSTANCES_PER_DATA_CENTRE,
                organisations,
                REQUESTS_PER_S,
                uses_pooling_instance=True,
            )
        )
        for organisations in ORGANISATIONS
    ]
    series_by_name = {
        name: Series(
            task,
            "active organisations",
            unit,
            ORGANISATIONS,
            tuple(_cost_field(cost, field) * factor for cost in costs),
        )
        for name, (task, unit, field, factor) in COLUMNS.items()
    }
    steps = (
        ("reserve", "reserve and settle", "us", lambda n: _reserve_us(cpu, n)),
        ("limit_memory", "memory of the limiter", "B", _measure_memory_bytes),
    )
    for name, task, unit, cost in steps:
        series_by_name[name] = Series.measure(
            task, "active organisations", unit, LIMITER_ORGANISATIONS, cost
        )
    return series_by_name


def _reserve_us(cpu: CpuTimeReader, count: int) -> float:
    limiter, organisations = _make_limiter(count)
    _reserve_for_each(limiter, organisations)

    def reserve(number: int) -> None:
        """Reserve tokens for one organisation and settle them."""
        limiter.reserve(organisations[number % count], 1_156.0).settle(1_000.0)

    return measure_us(cpu, reserve, STEPS_PER_ROUND)


def _measure_memory_bytes(count: int) -> float:
    limiter, organisations = _make_limiter(count)
    return measure_memory_bytes(lambda: _reserve_for_each(limiter, organisations))


def _reserve_for_each(
    limiter: SharedTokenLimiter, organisations: list[Organisation]
) -> None:
    for organisation in organisations:
        limiter.reserve(organisation, 1_156.0).settle(1_000.0)


def _make_limiter(count: int) -> tuple[SharedTokenLimiter, list[Organisation]]:
    """Return the limiter of a one-instance fleet, and its organisations."""
    organisations = [Organisation(f"o-{n}", 1e9, 1e9) for n in range(count)]
    entries = [Entry(ObjectKind.DATA_CENTRE, "dc0", 1, DataCentre("dc0", region="r0"))]
    entries += [
        Entry(ObjectKind.ORGANISATION, item.id, 1, item) for item in organisations
    ]
    fleet = Fleet(LimitSettings(), tuple(entries))
    fleet.start("instance-0", "dc0")
    fleet.run(WARM_UP_S, step_s=1.0)
    return fleet.instances["instance-0"].limiter, organisations


def _cost_field(cost: InstanceCost, field: str) -> float:
    return float(getattr(cost, field))
