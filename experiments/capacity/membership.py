"""What heartbeats and the spread of tickets cost each instance."""

import attrs

from experiments._spread_model import Fleet
from experiments.capacity.cpu import CpuTimeReader
from experiments.capacity.series import US_PER_S, Series, measure_memory_bytes

__all__ = ["FleetCost", "make_membership_series", "measure_fleets"]

SIZES = ((48, 12), (140, 26), (420, 52))
MEMORY_SIZES = {48: 12, 96: 24, 192: 48}
WARM_UP_S = 6.0
MEASURED_S = 6.0


@attrs.frozen
class FleetCost:
    """What the model of a fleet gave for each instance.

    Attributes:
        instances: How many there were.
        messages_per_s: Messages sent and received, replies included.
        bytes_per_s: Their bytes.
        core_share: Processor time of the classes and the model, as a part of
            one core.
    """

    instances: int
    messages_per_s: float
    bytes_per_s: float
    core_share: float

    @property
    def message_us(self) -> float:
        """Microseconds of processor time for each message at one end."""
        return self.core_share / self.messages_per_s * US_PER_S


def measure_fleets(cpu: CpuTimeReader) -> list[FleetCost]:
    """Return the cost at each size, without changes of configuration."""
    return [_measure_fleet(cpu, *size) for size in SIZES]


def make_membership_series(fleets: list[FleetCost]) -> dict[str, Series]:
    """Return the series of bytes, messages and processor time."""
    sizes = tuple(fleet.instances for fleet in fleets)
    columns = {
        "heartbeat_bytes": ("membership bytes a second", "B/s", "bytes_per_s"),
        "heartbeat_messages": ("membership messages a second", "1/s", "messages_per_s"),
        "heartbeat_us": ("compose or absorb a heartbeat", "us", "message_us"),
    }
    found = {
        name: Series(
            task,
            "instances",
            unit,
            sizes,
            tuple(getattr(fleet, field) for fleet in fleets),
        )
        for name, (task, unit, field) in columns.items()
    }
    found["peer_memory"] = Series.measure(
        "memory of membership and spread",
        "instances",
        "B",
        tuple(MEMORY_SIZES),
        _measure_memory_bytes,
    )
    return found


def _measure_memory_bytes(instances: int) -> float:
    """Return the bytes of one instance; the list itself is shared by all."""

    def build() -> Fleet:
        """Run a fleet and return it."""
        fleet = Fleet(instances, MEMORY_SIZES[instances])
        fleet.events.run_until(WARM_UP_S)
        return fleet

    return measure_memory_bytes(build) / instances


def _measure_fleet(cpu: CpuTimeReader, instances: int, data_centres: int) -> FleetCost:
    fleet = Fleet(instances, data_centres)
    fleet.events.run_until(WARM_UP_S)
    fleet.reset_counts()
    started_s = cpu.read_s()
    fleet.events.run_until(WARM_UP_S + MEASURED_S)
    spent_s = cpu.read_s() - started_s
    each = instances * MEASURED_S
    return FleetCost(
        instances,
        sum(fleet.messages.values()) / each,
        sum(fleet.bytes.values()) / each,
        spent_s / each,
    )
