"""Watching the platform's list of instances."""

import random
import threading
from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.config.backoff import Backoff
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.publication import InstanceList, InstanceListService

__all__ = ["InstanceListReader"]

WATCH_TIMEOUT = timedelta(seconds=20)
MIN_BACKOFF = timedelta(seconds=0.25)
MAX_BACKOFF = timedelta(seconds=10)


class InstanceListReader:
    """Watches the list on one thread and backs off with jitter after failures.

    Args:
        clock: The clock.
        service: The platform's list.
        apply: Called with each list that is read.
        generator: Source of the jitter.
    """

    def __init__(
        self,
        clock: Clock,
        service: InstanceListService,
        apply: Callable[[InstanceList], object],
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._service = service
        self._apply = apply
        self._backoff = Backoff(generator, MIN_BACKOFF, MAX_BACKOFF)
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start watching."""
        threading.Thread(target=self._follow, name="instance-list", daemon=True).start()

    def stop(self) -> None:
        """Stop watching; a waiting call is left to its timeout."""
        self._stopping.set()

    def step(self, revision: int) -> int:
        """Make one call; return the revision to watch from next.

        Raises:
            PlatformUnavailableError: The platform did not answer.
        """
        reading = self._service.watch(revision, WATCH_TIMEOUT)
        self._backoff.reset()
        self._apply(reading)
        return reading.revision

    def _follow(self) -> None:
        revision = 0
        while not self._stopping.is_set():
            try:
                revision = self.step(revision)
            except PlatformUnavailableError as error:
                logger.warning("could not read the instance list: {}", error.message)
                self._clock.wait(self._stopping, self._backoff.draw())
