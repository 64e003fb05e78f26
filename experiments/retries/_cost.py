"""Costs of retry and quarantine decisions: time, memory and network bytes."""

import json
import random
import tracemalloc
from collections.abc import Callable
from datetime import timedelta

import numpy as np
from rich.console import Console
from rich.table import Table
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from experiments.retries._events import EventLoop
from experiments.retries._links import LinkModel
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
RUNS_AT_CRASH = 8
US_PER_S = 1_000_000


def print_cost() -> None:
    """Print a table of costs. Times vary from run to run."""
    table = Table("what", "cost")
    for name, cost in [
        *_measure_policy(),
        *_measure_fingerprints(),
        *_measure_quarantine(),
        *_measure_spread(),
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
    before_bytes, _ = tracemalloc.get_traced_memory()
    names = [f"organisation-{number}" for number in range(ORGANISATIONS)]
    names_bytes, _ = tracemalloc.get_traced_memory()
    for name in names:
        policy.record_success(name, "endpoint")
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    error = EndpointRefusedError("refused")
    failure = Failure(error, 1, names[0], "endpoint", True, 0, 60.0, False)
    return [
        (
            "budgets of 23,000 organisations",
            f"{(after_bytes - names_bytes) / 1e6:.1f} MB",
        ),
        ("their names", f"{(names_bytes - before_bytes) / 1e6:.1f} MB"),
        (
            "RetryPolicy.record_success",
            _time_us(lambda: policy.record_success(names[1], "e")),
        ),
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
            quarantine.start_run(b"run-%d" % number, f"endpoint-{number % 100}")
        cost = _time_us(lambda quarantine=quarantine: _run_once(quarantine))
        rows.append((f"one run with {entries} entries", cost))
    size_bytes = _count_bytes(quarantine.export()) / ENTRIES
    rows.append(("report of an entry", f"{size_bytes:.0f} bytes"))
    rows.append(("digest of 1024 entries", _time_us(quarantine.digest, 20)))
    return rows


def _count_bytes(struct: object) -> int:
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocol(buffer))
    return len(buffer.getvalue())


class _CountingLinks(LinkModel):
    """Links that count calls and their bytes."""

    calls = 0
    sent_bytes = 0

    def deliver(self, instance: str, method: str, request: object) -> object:
        """Deliver and count a call."""
        self.calls += 1
        self.sent_bytes += _count_bytes(request)
        return super().deliver(instance, method, request)


def _measure_spread() -> list[tuple[str, str]]:
    """Measure the calls after a crash, until all suspects have run again."""
    rows = []
    for instances in (4, 7, 13):
        loop = EventLoop()
        links = _CountingLinks(loop, instances, np.random.default_rng(1), 1)
        loop.run(1.0)
        calls, sent_bytes = links.calls, links.sent_bytes
        quarantine = links.quarantines[0]
        evidence = CrashEvidence(ConnectionEnd.RESET, incarnation_before="1767225600")
        names = [b"%016d" % number for number in range(RUNS_AT_CRASH)]
        runs = [quarantine.start_run(name, "endpoint") for name in names]
        for run in runs:
            run.fail(evidence)
        for number, name in enumerate(names):
            quarantine.advise_start(name, f"endpoint-{number}")
        loop.run(2.0)
        for number, name in enumerate(names):
            quarantine.advise_start(name, f"endpoint-{number}")
            quarantine.start_run(name, f"endpoint-{number}").finish()
        loop.run(5.0)
        calls = (links.calls - calls) / instances
        sent = (links.sent_bytes - sent_bytes) / instances
        name = f"a crash under {RUNS_AT_CRASH} runs, full mesh of {instances}"
        cost = f"{calls:.1f} calls, {sent / 1000:.1f} kB from each"
        rows.append((name, cost))
    return rows


def _make_quarantine(entries: int) -> Quarantine:
    clock = ManualClock()
    identity = PeerIdentity("instance", 1, "data-centre")
    quarantine = Quarantine(clock, QuarantineSettings(), identity)
    evidence = CrashEvidence(ConnectionEnd.RESET, incarnation_before="1767225600")
    for number in range(entries):
        fingerprint = number.to_bytes(16, "big")
        quarantine.start_run(fingerprint, f"endpoint-{number}").fail(evidence)
    clock.advance(timedelta(seconds=1))
    return quarantine


def _run_once(quarantine: Quarantine) -> None:
    quarantine.check(b"innocent")
    quarantine.advise_start(b"innocent", "endpoint-1")
    quarantine.start_run(b"innocent", "endpoint-1").finish()
