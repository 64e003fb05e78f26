"""The descriptors of the process."""

import os
import resource
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.logs import log_event

__all__ = ["DescriptorWatch"]

CHECK_INTERVAL = timedelta(seconds=1)
SHORT_FRACTION = 0.8
"""Used fraction of the limit from which idle connections are closed."""
ENOUGH_FRACTION = 0.7
DESCRIPTORS_FOLDER = "/proc/self/fd"
UNKNOWN = -1


def _count_descriptors() -> int:
    try:
        return len(os.listdir(DESCRIPTORS_FOLDER))
    except OSError:
        return UNKNOWN


def _read_limit() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


class DescriptorWatch:
    """Closes idle connections before the process runs out of descriptors.

    Args:
        clock: The source of time.
        free: Closes idle connections; returns their number.
        count: Returns the number of open descriptors, -1 if it is unknown.
        read_limit: Returns the maximum number, which may change.
    """

    def __init__(
        self,
        clock: Clock,
        free: Callable[[], int],
        count: Callable[[], int] = _count_descriptors,
        read_limit: Callable[[], int] = _read_limit,
    ) -> None:
        self._clock = clock
        self._free = free
        self._read_limit = read_limit
        self._next_check_s = float("-inf")
        self._is_short = False
        self.count = count

    def check(self) -> None:
        """Check the number once in each interval."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL.total_seconds()
        used, limit = self.count(), self._read_limit()
        if limit <= 0:
            return
        if used >= SHORT_FRACTION * limit:
            closed = self._free()
            if not self._is_short:
                log_event("descriptors_short", used=used, limit=limit, closed=closed)
            self._is_short = True
        elif self._is_short and used < ENOUGH_FRACTION * limit:
            log_event("descriptors_enough", used=used, limit=limit)
            self._is_short = False
