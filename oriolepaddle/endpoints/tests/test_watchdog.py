import threading
from datetime import timedelta

from oriolepaddle.clock import SystemClock
from oriolepaddle.endpoints.watchdog import ExchangeWatchdog

INTERVAL = timedelta(milliseconds=5)
TIMEOUT_S = 5.0


class FailingExchange:
    def __init__(self):
        self.is_cancelled = threading.Event()

    def inspect(self):
        raise ValueError("file descriptor cannot be a negative integer (-1)")

    def cancel(self, error):
        self.is_cancelled.set()


class CountingExchange:
    def __init__(self):
        self.is_inspected = threading.Event()

    def inspect(self):
        self.is_inspected.set()


class TestExchangeWatchdog:
    def test_inspects_the_others_after_an_unexpected_error(self):
        # The thread once ended at such an error. From then on the instance noticed
        # neither callers that had left nor endpoints that were silent.
        watchdog = ExchangeWatchdog(SystemClock(), INTERVAL)
        failing, other = FailingExchange(), CountingExchange()
        watchdog.add(failing)
        assert failing.is_cancelled.wait(TIMEOUT_S)
        watchdog.add(other)
        assert other.is_inspected.wait(TIMEOUT_S)
        watchdog.close()
