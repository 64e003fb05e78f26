"""The cost of tombstones and of catching up with a peer.

Run with `python -m experiments.tombstones`. Withdrawn objects must be distinguished
from objects not yet received. This compares the single ticket number per object
with the version vector and dots per object of the paper on augmented inverted
indexes, at 23,000 organisations.
"""

import json
import random
import struct
import time
import tracemalloc
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

import attrs
from rich.console import Console
from rich.table import Table
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from oriolepaddle.clock import ManualClock
from oriolepaddle.config import ConfigState, Entry, Rejections, parse_ticket
from oriolepaddle.config.handler import ConfigurationHandler
from oriolepaddle.config.inbox import Inbox
from oriolepaddle.config.reconciliation import Reconciliation
from oriolepaddle.peers import PeerService

__all__ = ["DottedEntry", "main", "merge_dotted"]

ORGANISATIONS = 23_000
CHANGED_SHARE = 0.1
WRITERS = (1, 6, 17)
REPEATS = 5
ID_BYTES = 8
NUMBER_BYTES = 8

_FACTORY = TCompactProtocolAcceleratedFactory()

Dot = tuple[str, int]


@attrs.frozen
class DottedEntry:
    """An object's causal history, as in the paper.

    Attributes:
        vector: The latest counter of each writer in this history.
        dots: The writes whose value is current; none if the object was removed.
    """

    vector: tuple[Dot, ...]
    dots: frozenset[Dot]


def merge_dotted(one: DottedEntry, other: DottedEntry) -> DottedEntry:
    """Merge two histories; drop a dot if the other history contains its removal."""
    if one == other:
        return one
    one_vector, other_vector = dict(one.vector), dict(other.vector)
    dots = one.dots & other.dots
    dots |= {dot for dot in one.dots if dot[1] > other_vector.get(dot[0], 0)}
    dots |= {dot for dot in other.dots if dot[1] > one_vector.get(dot[0], 0)}
    vector = {
        name: max(one_vector.get(name, 0), other_vector.get(name, 0))
        for name in one_vector | other_vector
    }
    return DottedEntry(tuple(sorted(vector.items())), frozenset(dots))


def _make_dotted(writers: int, generator: random.Random) -> DottedEntry:
    names = [f"writer-{index:02d}" for index in range(writers)]
    vector = tuple((name, generator.randrange(1, 1000)) for name in names)
    return DottedEntry(vector, frozenset([generator.choice(vector)]))


def _rewrite(entry: DottedEntry, generator: random.Random) -> DottedEntry:
    index = generator.randrange(len(entry.vector))
    name, counter = entry.vector[index]
    dot = (name, counter + 1)
    vector = (*entry.vector[:index], dot, *entry.vector[index + 1 :])
    return DottedEntry(vector, frozenset([dot]))


def _measure_dots(writers: int) -> tuple[float, float, float]:
    generator = random.Random(writers)
    build = lambda: {  # noqa: E731 - measured as a whole
        index: _make_dotted(writers, generator) for index in range(ORGANISATIONS)
    }
    entries, memory_bytes = _measure_memory(build)
    changed = generator.sample(sorted(entries), int(ORGANISATIONS * CHANGED_SHARE))
    other = entries | {index: _rewrite(entries[index], generator) for index in changed}
    wire_bytes = sum(
        (ID_BYTES + NUMBER_BYTES) * (len(entry.vector) + len(entry.dots))
        for entry in entries.values()
    )

    def _merge() -> None:
        for index, entry in other.items():
            merge_dotted(entries[index], entry)

    return (
        wire_bytes / ORGANISATIONS,
        memory_bytes / ORGANISATIONS,
        _measure_time_s(_merge),
    )


def _measure_numbers() -> tuple[float, float, float]:
    generator = random.Random(0)
    build = lambda: {  # noqa: E731 - measured as a whole
        index: (generator.randrange(1 << 20, 1 << 21), False)
        for index in range(ORGANISATIONS)
    }
    entries, memory_bytes = _measure_memory(build)
    changed = generator.sample(sorted(entries), int(ORGANISATIONS * CHANGED_SHARE))
    other = entries | {index: (entries[index][0] + 1, False) for index in changed}
    wire_bytes = struct.calcsize(">Q?")

    def _merge() -> None:
        for index, rank in other.items():
            max(entries[index], rank)

    return float(wire_bytes), memory_bytes / ORGANISATIONS, _measure_time_s(_merge)


def _measure_memory(build: Callable[[], Any]) -> tuple[Any, int]:
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, size


def _measure_time_s(action: Callable[[], None]) -> float:
    times = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        action()
        times.append(time.process_time() - started_s)
    return min(times)


def _make_entries() -> list[Entry]:
    entries: list[Entry] = []
    for index in range(ORGANISATIONS):
        name = f"organisation-{index:05d}"
        rates = {"rate_tokens_per_s": 100 + index % 50, "burst_tokens": 1000}
        key = {"organisation": name, "digest": f"{index:064x}"}
        objects = [
            {"kind": "organisation", "id": name, "value": rates},
            {"kind": "key", "id": f"key-{index:05d}", "value": key},
        ]
        ticket = json.dumps({"number": index + 1, "objects": objects})
        entries.extend(parse_ticket(ticket).entries)
    return entries


class _CountingCaller:
    """Calls one handler and counts the calls and the bytes in both directions."""

    def __init__(self, handler: ConfigurationHandler) -> None:
        self._handler = handler
        self.calls = 0
        self.bytes = 0
        self.largest_bytes = 0

    def call(
        self,
        instance: str,
        service: PeerService,
        method: str,
        request: Any,
        timeout: timedelta,
    ) -> Any:
        """Call the handler."""
        reply = getattr(self._handler, method)(request)
        sizes = [len(serialize(message, _FACTORY)) for message in (request, reply)]
        self.calls += 1
        self.bytes += sum(sizes)
        self.largest_bytes = max(self.largest_bytes, *sizes)
        return reply


def _catch_up(state: ConfigState, peer: ConfigState) -> tuple[_CountingCaller, float]:
    rejections = Rejections(ManualClock())
    handler = ConfigurationHandler(
        peer,
        Inbox(rejections),
        lambda name: peer,
        lambda: True,
        lambda name, entries: None,
    )
    caller = _CountingCaller(handler)
    started_s = time.process_time()
    Reconciliation("new", "peer", state, state, caller, rejections, lambda: True).run()
    assert state.digest == peer.digest, "the states differ after catching up"
    return caller, time.process_time() - started_s


def _print_causality(console: Console) -> None:
    table = Table(title=f"Causal history of {ORGANISATIONS} objects, 10% changed")
    for column in ("way", "wire B/object", "memory B/object", "merge ms"):
        table.add_column(column, justify="right")
    rows = [("one ticket number", _measure_numbers())]
    rows += [
        (f"vector and dots, {writers} writers", _measure_dots(writers))
        for writers in WRITERS
    ]
    for name, (wire, memory, merge_s) in rows:
        table.add_row(name, f"{wire:.0f}", f"{memory:.0f}", f"{merge_s * 1000:.1f}")
    console.print(table)


def _print_catch_up(console: Console) -> None:
    entries, entry_bytes = _measure_memory(_make_entries)
    peer, memory_bytes = _measure_memory(lambda: _make_state(entries))
    tombstones = [Entry(e.kind, e.id, e.number + ORGANISATIONS, None) for e in entries]
    _, tombstone_bytes = _measure_memory(lambda: _make_state(tombstones))
    count = len(entries)
    console.print(
        f"{count} objects: {entry_bytes / count:.0f} B each, and "
        f"{memory_bytes / count:.0f} B each in the indexes"
    )
    console.print(f"as tombstones: {tombstone_bytes / count:.0f} B each in the indexes")
    stale = _make_state(entries[:-20])
    for name, state in (("an empty instance", ConfigState()), ("20 behind", stale)):
        caller, cpu_s = _catch_up(state, peer)
        console.print(
            f"{name}: {caller.calls} calls, {caller.bytes / 1000:.0f} kB, largest "
            f"message {caller.largest_bytes / 1024:.0f} KiB, "
            f"{cpu_s:.2f} s of one core at both ends"
        )


def _make_state(entries: Iterable[Entry]) -> ConfigState:
    state = ConfigState()
    state.merge(entries)
    return state


def main() -> None:
    """Print the comparison and the cost of catching up."""
    console = Console(width=100)
    _print_causality(console)
    _print_catch_up(console)


if __name__ == "__main__":
    main()
