"""Aborts exchanges that timed out or that their sink cancels."""

import threading
from datetime import timedelta

from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.endpoints.exchange import CurlExchange
from oriolepaddle.errors import EndpointFailedError

__all__ = ["DEFAULT_INTERVAL", "ExchangeWatchdog"]

DEFAULT_INTERVAL = timedelta(milliseconds=250)


class ExchangeWatchdog:
    """Inspects all running exchanges on one thread.

    Inspecting on the exchange's own thread would need a callback for each chunk,
    which costs more than forwarding the chunk.

    Args:
        clock: Clock for the interval.
        interval: Time between two inspections of an exchange.
    """

    def __init__(self, clock: Clock, interval: timedelta = DEFAULT_INTERVAL) -> None:
        self._clock = clock
        self._interval = interval
        self._lock = threading.Lock()
        self._exchanges: set[CurlExchange] = set()
        self._has_work = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="exchange-watchdog", daemon=True
        )
        self._thread.start()

    def add(self, exchange: CurlExchange) -> None:
        """Start inspecting an exchange."""
        with self._lock:
            self._exchanges.add(exchange)
            self._has_work.set()

    def remove(self, exchange: CurlExchange) -> None:
        """Stop inspecting an exchange."""
        with self._lock:
            self._exchanges.discard(exchange)
            if not self._exchanges:
                self._has_work.clear()

    def close(self) -> None:
        """Stop the thread."""
        self._stopping.set()
        self._has_work.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._clock.wait(self._stopping, self._interval):
            # Avoids periodic wake-ups while no exchange is running.
            self._has_work.wait()
            with self._lock:
                exchanges = list(self._exchanges)
            for exchange in exchanges:
                try:
                    exchange.inspect()
                except Exception as error:  # noqa: BLE001 - the others must be inspected
                    logger.opt(exception=error).error("an inspection failed")
                    exchange.cancel(
                        EndpointFailedError(f"the attempt can't be inspected: {error}")
                    )
