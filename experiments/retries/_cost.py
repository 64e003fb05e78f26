"""What the decisions cost: time, memory and bytes on the wire."""

import json
import random
import tracemalloc
from collections.abc import Callable
from datetime import timedelta

from rich.console import Console
from rich.table import Table
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from oriolepaddle.clock import ManualClock, SystemClock
from oriolepaddle.errors import EndpointRefusedError
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.quarantine import (
    ConnectionEnd,
    CrashEvidence,
    Quarantine,
    QuarantineSettings,
    make_fingerprint,
)
from oriolepaddle.retries import Failure, RetryPolicy, RetrySettings

__all__ = ["print_cost"]

ORGANISATIONS = 23_000
REPEATS = 2_000
ENTRIES = 1_024
RUNS_IN_FLIGHT = 330
US_PER_S = 1_000_000


def print_cost() -> None:
    """Print a table of costs; times differ from run to run."""
    table = Table("what", "cost")
    for name, cost in [
        *_measure_policy(),
        *_measure_fingerprints(),
        *_measure_quarantine(),
    ]:
        table.add_row(name, cost)
    Console().print(table)


def _time_us(function: Callable[[], object], repeats: int = REPEATS) -> str:
    clock = SystemClock()
    start_s = clock.monotonic_s()
    for _ in range(repeats):
        function()
    return f"{(clock.monotonic_s() - start_s) / repeats * US_PER_S:.1f} us"


def _measure_policy() -> list[tuple[str, str]]:
    tracemalloc.start()
    policy = RetryPolicy(ManualClock(), RetrySettings(), random.Random(1))
    before, _ = tracemalloc.get_traced_memory()
    names = [f"organisation-{number}" for number in range(ORGANISATIONS)]
    named, _ = tracemalloc.get_traced_memory()
    for name in names:
        policy.succeeded(name, "endpoint")
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    error = EndpointRefusedError("refused")
    failure = Failure(error, 1, names[0], "endpoint", True, 0, 60.0, False)
    return [
        ("budgets of 23,000 organisations", f"{(after - named) / 1e6:.1f} MB"),
        ("their names", f"{(named - before) / 1e6:.1f} MB"),
        ("RetryPolicy.succeeded", _time_us(lambda: policy.succeeded(names[1], "e"))),
        ("RetryPolicy.decide", _time_us(lambda: policy.decide(failure))),
    ]


def _measure_fingerprints() -> list[tuple[str, str]]:
    rows = []
    for size_bytes in (1_000, 100_000):
        body = json.dumps({"model": "m", "prompt": "x" * size_bytes}).encode()
        cost = _time_us(lambda body=body: make_fingerprint("POST", "/v1", body), 200)
        rows.append((f"make_fingerprint of {size_bytes} bytes", cost))
    return rows


def _measure_quarantine() -> list[tuple[str, str]]:
    rows = []
    for entries in (0, ENTRIES):
        quarantine = _make_quarantine(entries)
        for number in range(RUNS_IN_FLIGHT):
            quarantine.started(b"run-%d" % number, f"endpoint-{number % 100}")
        cost = _time_us(lambda quarantine=quarantine: _run_once(quarantine))
        rows.append((f"one run with {entries} entries", cost))
    buffer = TMemoryBuffer()
    quarantine.export().write(TCompactProtocol(buffer))
    size_bytes = len(buffer.getvalue()) / ENTRIES
    rows.append(("report of an entry", f"{size_bytes:.0f} bytes"))
    rows.append(("digest of 1024 entries", _time_us(quarantine.digest, 20)))
    return rows


def _make_quarantine(entries: int) -> Quarantine:
    clock = ManualClock()
    identity = PeerIdentity("instance", 1, "data-centre")
    quarantine = Quarantine(clock, QuarantineSettings(), identity)
    evidence = CrashEvidence(ConnectionEnd.RESET, incarnation_before="1767225600")
    for number in range(entries):
        fingerprint = number.to_bytes(16, "big")
        quarantine.started(fingerprint, f"endpoint-{number}").crashed(evidence)
    clock.advance(timedelta(seconds=1))
    return quarantine


def _run_once(quarantine: Quarantine) -> None:
    quarantine.check(b"innocent")
    quarantine.may_start(b"innocent", "endpoint-1")
    quarantine.started(b"innocent", "endpoint-1").finished()
