"""The background tasks of a gateway instance."""

import random
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.commands import CommandIssuer
from oriolepaddle.daemon.connection_upkeep import ConnectionUpkeep
from oriolepaddle.daemon.engine_monitor import EngineMonitor
from oriolepaddle.daemon.fleet import Fleet
from oriolepaddle.daemon.loads import LoadExchange
from oriolepaddle.daemon.serving import Serving
from oriolepaddle.endpoints.control import HttpEngineControl
from oriolepaddle.quarantine import QuarantineReplicator, QuarantineSettings

__all__ = ["BackgroundTasks"]

LIMITS_INTERVAL = timedelta(milliseconds=200)
LOADS_INTERVAL = timedelta(seconds=1)
MONITOR_INTERVAL = timedelta(milliseconds=100)
CONNECTIONS_INTERVAL = timedelta(seconds=1)
QUARANTINE_THREADS = 4
COMMAND_THREADS = 4


class BackgroundTasks:
    """Periodic tasks, each on its own thread.

    Args:
        clock: Times the tasks.
        fleet: Membership and configuration.
        serving: The components that the tasks update.
        generator: Source of jitter.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        serving: Serving,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self._quarantine_executor = ThreadPoolExecutor(QUARANTINE_THREADS, "quarantine")
        self._command_executor = ThreadPoolExecutor(COMMAND_THREADS, "commands")
        context = serving.context
        self._serving = serving
        self._upkeep = ConnectionUpkeep(clock, (context.transport,))
        self._loads = LoadExchange(fleet.membership, serving.router)
        self._monitor = EngineMonitor(
            clock,
            fleet.config,
            fleet.membership.identity.data_centre,
            context,
        )
        self._replicator = QuarantineReplicator(
            clock,
            QuarantineSettings(),
            serving.quarantine,
            fleet.pool,
            fleet.membership,
            self._quarantine_executor,
            generator,
        )
        self._commands = CommandIssuer(
            fleet.config,
            fleet.membership,
            HttpEngineControl(clock, context.transport),
            fleet,
            clock,
            generator,
            self._command_executor,
        )

    def start(self) -> None:
        """Start all tasks."""
        self._repeat("limits", LIMITS_INTERVAL, self._update_limits)
        self._repeat("loads", LOADS_INTERVAL, self._loads.run)
        self._repeat("connections", CONNECTIONS_INTERVAL, self._upkeep.run)
        self._repeat("engines", MONITOR_INTERVAL, self._monitor.run)
        self._start("quarantine", lambda: self._replicator.run(self._stopping))
        self._start("commands", lambda: self._commands.run(self._stopping))

    def stop(self) -> None:
        """Stop all tasks and wait for them to end."""
        self._stopping.set()
        self._serving.quarantine.changed.set()
        for thread in self._threads:
            thread.join()
        self._quarantine_executor.shutdown(wait=True)
        self._command_executor.shutdown(wait=True)

    def _update_limits(self) -> None:
        limiter = self._serving.limiter
        limiter.tick()
        # Callers are sent here only once this instance has tokens to spend.
        self._fleet.membership.set_ready(limiter.is_warm)

    def _start(self, name: str, run: Callable[[], None]) -> None:
        thread = threading.Thread(target=run, name=name, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _repeat(self, name: str, interval: timedelta, step: Callable[[], None]) -> None:
        def _run() -> None:
            while not self._clock.wait(self._stopping, interval):
                try:
                    step()
                except Exception:  # noqa: BLE001 - one failure must not end the task
                    logger.exception("background task {} failed", name)

        self._start(name, _run)
