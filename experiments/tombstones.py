"""What telling "withdrawn" from "not yet seen" costs, and catching up.

Run with `python -m experiments.tombstones`. Compares one ticket number for
each object with the version vector and dots that the paper on augmented
inverted indexes keeps for each object, at 23,000 organisations.
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
    """An object's causal history as the paper keeps it.

    Attributes:
        vector: The counter of each writer that this history contains.
        dots: The writes whose value stands; none if it was removed.
    """

    vector: tuple[Dot, ...]
    dots: frozenset[Dot]


def merge_dotted(one: DottedEntry, other: DottedEntry) -> DottedEntry:
    """Merge two histories: a dot goes if the other saw and removed it."""
    if one == other:
        return one
    mine, theirs = dict(one.vector), dict(other.vector)
    kept = one.dots & other.dots
    kept |= {dot for dot in one.dots if dot[1] > theirs.get(dot[0], 0)}
    kept |= {dot for dot in other.dots if dot[1] > mine.get(dot[0], 0)}
    vector = {
        name: max(mine.get(name, 0), theirs.get(name, 0)) for name in mine | theirs
    }
    return DottedEntry(tuple(sorted(vector.items())), frozenset(kept))


def _make_dotted(writers: int, generator: random.Random) -> DottedEntry:
    names = [f"writer-{place:02d}" for place in range(writers)]
    vector = tuple((name, generator.randrange(1, 1000)) for name in names)
    return DottedEntry(vector, frozenset([generator.choice(vector)]))


def _rewrite(entry: DottedEntry, generator: random.Random) -> DottedEntry:
    place = generator.randrange(len(entry.vector))
    name, counter = entry.vector[place]
    dot = (name, counter + 1)
    vector = (*entry.vector[:place], dot, *entry.vector[place + 1 :])
    return DottedEntry(vector, frozenset([dot]))


def _measure_dots(writers: int) -> tuple[float, float, float]:
    generator = random.Random(writers)
    build = lambda: {  # noqa: E731 - measured as a whole
        place: _make_dotted(writers, generator) for place in range(ORGANISATIONS)
    }
    held, memory_bytes = _measure_memory(build)
    changed = generator.sample(sorted(held), int(ORGANISATIONS * CHANGED_SHARE))
    other = held | {place: _rewrite(held[place], generator) for place in changed}
    wire = sum(
        (ID_BYTES + NUMBER_BYTES) * (len(entry.vector) + len(entry.dots))
        for entry in held.values()
    )

    def _merge() -> None:
        for place, entry in other.items():
            merge_dotted(held[place], entry)

    return wire / ORGANISATIONS, memory_bytes / ORGANISATIONS, _measure_time_s(_merge)


def _measure_numbers() -> tuple[float, float, float]:
    generator = random.Random(0)
    build = lambda: {  # noqa: E731 - measured as a whole
        place: (generator.randrange(1 << 20, 1 << 21), False)
        for place in range(ORGANISATIONS)
    }
    held, memory_bytes = _measure_memory(build)
    changed = generator.sample(sorted(held), int(ORGANISATIONS * CHANGED_SHARE))
    other = held | {place: (held[place][0] + 1, False) for place in changed}
    wire = struct.calcsize(">Q?")

    def _merge() -> None:
        for place, rank in other.items():
            max(held[place], rank)

    return float(wire), memory_bytes / ORGANISATIONS, _measure_time_s(_merge)


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
    for place in range(ORGANISATIONS):
        name = f"organisation-{place:05d}"
        rates = {"rate_tokens_per_s": 100 + place % 50, "burst_tokens": 1000}
        key = {"organisation": name, "digest": f"{place:064x}"}
        objects = [
            {"kind": "organisation", "id": name, "value": rates},
            {"kind": "key", "id": f"key-{place:05d}", "value": key},
        ]
        ticket = json.dumps({"number": place + 1, "objects": objects})
        entries.extend(parse_ticket(ticket).entries)
    return entries


class _CountingCaller:
    """Calls one handler and counts calls and bytes of both directions."""

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
    peer, memory_bytes = _measure_memory(lambda: _merge_new(entries))
    tombstones = [Entry(e.kind, e.id, e.number + ORGANISATIONS, None) for e in entries]
    _, tombstone_bytes = _measure_memory(lambda: _merge_new(tombstones))
    count = len(entries)
    console.print(
        f"{count} objects: {entry_bytes / count:.0f} B each, and "
        f"{memory_bytes / count:.0f} B each in the indexes"
    )
    console.print(f"as tombstones: {tombstone_bytes / count:.0f} B each in the indexes")
    stale = _merge_new(entries[:-20])
    for name, state in (("an empty instance", ConfigState()), ("20 behind", stale)):
        caller, spent_s = _catch_up(state, peer)
        console.print(
            f"{name}: {caller.calls} calls, {caller.bytes / 1000:.0f} kB, largest "
            f"message {caller.largest_bytes / 1024:.0f} KiB, "
            f"{spent_s:.2f} s of one core at both ends"
        )


def _merge_new(entries: Iterable[Entry]) -> ConfigState:
    state = ConfigState()
    state.merge(entries)
    return state


def main() -> None:
    """Print the comparison and what catching up costs."""
    console = Console(width=100)
    _print_causality(console)
    _print_catch_up(console)


if __name__ == "__main__":
    main()
