"""Cost of the configuration: merging tickets and memory of objects."""

import json

from experiments.capacity.cpu import CpuTimeReader
from experiments.capacity.series import Series, measure_memory_bytes, measure_us
from oriolepaddle.config import ConfigState, Entry, parse_ticket
from oriolepaddle.config.model import ObjectKind

__all__ = ["measure_configuration", "measure_ticket_bytes"]

OBJECTS = (1, 10, 100)
ORGANISATIONS = (1_000, 5_000, 23_000)
ENDPOINTS = (370, 1_850, 3_700)
STORED_KEYS = 1_000
STEPS_PER_ROUND = 20
VALUES = {
    "organisation": {"rate_tokens_per_s": 100, "burst_tokens": 1000},
    "endpoint": {
        "data_centre": "dc0",
        "address": "127.0.0.1:1",
        "routes": ["oriole-answers"],
    },
}


def measure_configuration(cpu: CpuTimeReader) -> dict[str, Series]:
    """Return the series of ticket merges and of memory for each object kind."""
    series_by_name = {
        "ticket": Series.measure(
            "parse and merge a ticket",
            "objects",
            "us",
            OBJECTS,
            lambda size: _merge_us(cpu, size),
        )
    }
    for kind in ("organisation", "key", "tombstone", "endpoint"):
        sizes = ENDPOINTS if kind == "endpoint" else ORGANISATIONS
        series_by_name[kind] = Series.measure(
            f"memory of {kind}s",
            f"{kind}s",
            "B",
            sizes,
            lambda size, kind=kind: measure_memory_bytes(
                lambda: _build_state(kind, size)
            ),
        )
    return series_by_name


def measure_ticket_bytes() -> int:
    """Return the size in bytes of a ticket with one key."""
    return len(_write_ticket("key", 1, 0, 1))


def _merge_us(cpu: CpuTimeReader, objects: int) -> float:
    state = _build_state("key", STORED_KEYS)
    # Each ticket updates the same objects.
    tickets = [
        _write_ticket("key", STORED_KEYS + number + 1, 0, objects)
        for number in range(3 * STEPS_PER_ROUND)
    ]

    def merge(number: int) -> None:
        """Parse and merge one ticket."""
        state.merge(parse_ticket(tickets[number]).entries)

    return measure_us(cpu, merge, STEPS_PER_ROUND)


def _build_state(kind: str, count: int) -> ConfigState:
    state = ConfigState()
    for number in range(count):
        if kind == "tombstone":
            name = f"key-{number:05d}"
            entries = (Entry(ObjectKind.KEY, name, number + 1, None),)
        else:
            ticket = _write_ticket(kind, number + 1, number, 1)
            entries = parse_ticket(ticket).entries
        state.merge(entries)
    return state


def _write_ticket(kind: str, ticket: int, first: int, count: int) -> str:
    objects = [
        {
            "kind": kind,
            "id": f"{kind}-{number:05d}",
            "value": _make_value(kind, ticket, number),
        }
        for number in range(first, first + count)
    ]
    return json.dumps({"number": ticket, "objects": objects})


def _make_value(kind: str, ticket: int, number: int) -> dict:
    if kind == "key":
        digest = f"{ticket:032x}{number:032x}"
        return {"organisation": f"organisation-{number:05d}", "digest": digest}
    return VALUES[kind]
