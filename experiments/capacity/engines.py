"""What knowledge of the endpoints costs."""

from types import SimpleNamespace
from typing import cast

from experiments.capacity.cpu import CpuTimeReader
from experiments.capacity.fixtures import DATA_CENTRE, make_config, make_router
from experiments.capacity.series import Series, measure_us
from oriolepaddle.clock import ManualClock
from oriolepaddle.daemon.engine_monitor import EngineMonitor
from oriolepaddle.endpoints.health import HealthChecker
from oriolepaddle.gateway.context import ServingContext
from oriolepaddle.routing import LoadReport
from oriolepaddle.standins import EngineStandin

__all__ = ["measure_engines"]

LOCAL = (10, 35, 71, 140)
ALL = (370, 1_850, 3_700)
POLLS = (50, 100, 200)
TIMES = 20


def measure_engines(cpu: CpuTimeReader, thread_cpu: CpuTimeReader) -> dict[str, Series]:
    """Return the series of load reports, summaries and polls.

    Args:
        cpu: Reads the time of the process.
        thread_cpu: Reads that of the polling thread, without the stand-in's.
    """
    steps = (
        ("report", "load report", "endpoints", LOCAL, lambda n: _report_us(cpu, n)),
        ("summary", "load summary", "endpoints", LOCAL, lambda n: _sum_up_us(cpu, n)),
        (
            "scan",
            "look for a due engine",
            "all endpoints",
            ALL,
            lambda n: _scan_us(cpu, n),
        ),
        (
            "poll",
            "polls over loopback",
            "polls",
            POLLS,
            lambda n: _poll_us(thread_cpu, n),
        ),
    )
    return {
        name: Series.measure(task, size_name, "us", sizes, cost)
        for name, task, size_name, sizes, cost in steps
    }


def _report_us(cpu: CpuTimeReader, endpoints: int) -> float:
    router = make_router(ManualClock(), make_config(endpoints))

    def report(number: int) -> None:
        """Take in one report."""
        name = f"{DATA_CENTRE}-e{number % endpoints}"
        router.apply_load_report(LoadReport(name, running=4, queued=0))

    return measure_us(cpu, report, 10 * TIMES)


def _sum_up_us(cpu: CpuTimeReader, endpoints: int) -> float:
    router = make_router(ManualClock(), make_config(endpoints))
    return measure_us(cpu, lambda number: router.load_summaries(), TIMES)


def _scan_us(cpu: CpuTimeReader, endpoints: int) -> float:
    # One endpoint in 52 stands here, as at the size aimed for. No time passes,
    # and the first steps have asked them all.
    local = max(1, endpoints // 52)
    config = make_config(local, endpoints - local)
    clock = ManualClock()
    down = SimpleNamespace(check=lambda address: SimpleNamespace(is_up=False))
    parts = cast(ServingContext, SimpleNamespace(health=down))
    monitor = EngineMonitor(clock, config, DATA_CENTRE, parts)
    for _ in range(local):
        monitor.run()
    return measure_us(cpu, lambda number: monitor.run(), TIMES)


def _poll_us(cpu: CpuTimeReader, polls: int) -> float:
    engine = EngineStandin("engine")
    engine.start()
    try:
        checker = HealthChecker()

        def poll(number: int) -> None:
            """Ask the stand-in a number of times."""
            for _ in range(polls):
                checker.check(engine.address)

        return measure_us(cpu, poll, 1)
    finally:
        engine.close()
