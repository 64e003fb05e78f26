"""Cost of heartbeats and ticket dissemination for each instance."""

import attrs

from experiments._spread_model import Fleet
from experiments.capacity.cpu import CpuTimeReader
from experiments.capacity.series import US_PER_S, Series, measure_memory_bytes

__all__ = ["FleetCost", "make_membership_series", "measure_fleets"]

FLEET_SIZES = ((48, 12), (140, 26), (420, 52))
MEMORY_FLEET_SIZES = {48: 12, 96: 24, 192: 48}
WARM_UP_S = 6.0
MEASURED_S = 6.0


@attrs.frozen
class FleetCost:
    """Cost for each instance in a simulated fleet.

    Attributes:
        instances: Number of instances.
        messages_per_s: Messages sent and received, replies included.
        bytes_per_s: Bytes of these messages.
        core_share: Processor time of the measured classes and the simulation, as
            a fraction of one core.
    """

    instances: int
    messages_per_s: float
    bytes_per_s: float
    core_share: float

    @property
    def message_us(self) -> float:
        """Microseconds of processor time to send or to receive one message."""
        return self.core_share / self.messages_per_s * US_PER_S


def measure_fleets(cpu: CpuTimeReader) -> list[FleetCost]:
    """Return the cost at each fleet size, without configuration changes."""
    return [_measure_fleet(cpu, *size) for size in FLEET_SIZES]


def make_membership_series(fleets: list[FleetCost]) -> dict[str, Series]:
    """Return the series of bytes, messages, processor time and memory."""
    sizes = tuple(fleet.instances for fleet in fleets)
    columns = {
        "heartbeat_bytes": ("membership bytes a second", "B/s", "bytes_per_s"),
        "heartbeat_messages": ("membership messages a second", "1/s", "messages_per_s"),
        "heartbeat_us": ("compose or absorb a heartbeat", "us", "message_us"),
    }
    series_by_name = {
        name: Series(
            task,
            "instances",
            unit,
            sizes,
            tuple(getattr(fleet, field) for fleet in fleets),
        )
        for name, (task, unit, field) in columns.items()
    }
    series_by_name["peer_memory"] = Series.measure(
        "memory of membership and spread",
        "instances",
        "B",
        tuple(MEMORY_FLEET_SIZES),
        _measure_memory_bytes,
    )
    return series_by_name


def _measure_memory_bytes(instances: int) -> float:
    """Return the bytes per instance; the instance list is shared by all."""

    def build() -> Fleet:
        """Run a fleet and return it."""
        fleet = Fleet(instances, MEMORY_FLEET_SIZES[instances])
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
    instance_seconds = instances * MEASURED_S
    return FleetCost(
        instances,
        sum(fleet.messages.values()) / instance_seconds,
        sum(fleet.bytes.values()) / instance_seconds,
        spent_s / instance_seconds,
    )
