"""Cost of load reports, load summaries and engine polls."""

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

LOCAL_ENDPOINT_COUNTS = (10, 35, 71, 140)
TOTAL_ENDPOINT_COUNTS = (370, 1_850, 3_700)
POLL_COUNTS = (50, 100, 200)
STEPS_PER_ROUND = 20


def measure_engines(cpu: CpuTimeReader, thread_cpu: CpuTimeReader) -> dict[str, Series]:
    """Return the series of load reports, summaries, searches and polls.

    Args:
        cpu: Reader of the processor time of the process.
        thread_cpu: Reader of the processor time of the polling thread, which
            excludes that of the engine stand-in.
    """
    steps = (
        (
            "report",
            "load report",
            "endpoints",
            LOCAL_ENDPOINT_COUNTS,
            lambda n: _report_us(cpu, n),
        ),
        (
            "summary",
            "load summary",
            "endpoints",
            LOCAL_ENDPOINT_COUNTS,
            lambda n: _summary_us(cpu, n),
        ),
        (
            "scan",
            "look for a due engine",
            "all endpoints",
            TOTAL_ENDPOINT_COUNTS,
            lambda n: _scan_us(cpu, n),
        ),
        (
            "poll",
            "polls over loopback",
            "polls",
            POLL_COUNTS,
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
        """Apply one load report."""
        name = f"{DATA_CENTRE}-e{number % endpoints}"
        router.apply_load_report(LoadReport(name, running=4, queued=0))

    return measure_us(cpu, report, 10 * STEPS_PER_ROUND)


def _summary_us(cpu: CpuTimeReader, endpoints: int) -> float:
    router = make_router(ManualClock(), make_config(endpoints))
    return measure_us(cpu, lambda number: router.load_summaries(), STEPS_PER_ROUND)


def _scan_us(cpu: CpuTimeReader, endpoints: int) -> float:
    # The sizes count the endpoints of all data centres, the monitor searches the local.
    # One endpoint in 52 is local, as at the target scale with 52 data centres.
    # The clock does not advance and the first runs poll every local engine, so
    # the measured runs find none due.
    local = max(1, endpoints // 52)
    config = make_config(local, endpoints - local)
    clock = ManualClock()
    failing_checker = SimpleNamespace(
        check=lambda address: SimpleNamespace(is_up=False)
    )
    context = cast(ServingContext, SimpleNamespace(health=failing_checker))
    monitor = EngineMonitor(clock, config, DATA_CENTRE, context)
    for _ in range(local):
        monitor.run()
    return measure_us(cpu, lambda number: monitor.run(), STEPS_PER_ROUND)


def _poll_us(cpu: CpuTimeReader, polls: int) -> float:
    engine = EngineStandin("engine")
    engine.start()
    try:
        checker = HealthChecker()

        def poll(number: int) -> None:
            """Check the stand-in `polls` times."""
            for _ in range(polls):
                checker.check(engine.address)

        return measure_us(cpu, poll, 1)
    finally:
        engine.close()
