"""Ending exchanges that have reached a limit or are not wanted any more."""

import threading
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.endpoints.exchange import CurlExchange

__all__ = ["DEFAULT_INTERVAL", "ExchangeWatchdog"]

DEFAULT_INTERVAL = timedelta(milliseconds=250)


class ExchangeWatchdog:
    """Inspects every running exchange on one thread.

    Checking on the exchange's own thread would need a callback for each chunk,
    which costs more than passing the chunk on.

    Args:
        clock: Paces the inspections.
        interval: The time between two inspections of an exchange.
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
        """Inspect an exchange from now on."""
        with self._lock:
            self._exchanges.add(exchange)
            self._has_work.set()

    def remove(self, exchange: CurlExchange) -> None:
        """Inspect an exchange no longer."""
        with self._lock:
            self._exchanges.discard(exchange)
            if not self._exchanges:
                self._has_work.clear()

    def close(self) -> None:
        """Stop inspecting."""
        self._stopping.set()
        self._has_work.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._clock.wait(self._stopping, self._interval):
            # An instance without requests in flight is not woken for nothing.
            self._has_work.wait()
            with self._lock:
                exchanges = list(self._exchanges)
            for exchange in exchanges:
                exchange.inspect()
