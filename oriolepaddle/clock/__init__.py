"""Clocks with one interface, so that tests can substitute them."""

from oriolepaddle.clock.clock import Clock
from oriolepaddle.clock.manual import ManualClock
from oriolepaddle.clock.system import SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
