"""Following the platform's list of instances."""

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
SHORTEST_PAUSE = timedelta(seconds=0.25)
LONGEST_PAUSE = timedelta(seconds=10)


class InstanceListReader:
    """Watches the list on one thread and backs off with jitter after failures.

    Args:
        clock: The time.
        service: The platform's list.
        take: Called with each reading.
        generator: Draws the jitter.
    """

    def __init__(
        self,
        clock: Clock,
        service: InstanceListService,
        take: Callable[[InstanceList], object],
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._service = service
        self._take = take
        self._backoff = Backoff(generator, SHORTEST_PAUSE, LONGEST_PAUSE)
        self._stopping = threading.Event()

    def start(self) -> None:
        """Begin to watch."""
        threading.Thread(target=self._follow, name="instance-list", daemon=True).start()

    def stop(self) -> None:
        """Stop watching; a waiting call is left to its timeout."""
        self._stopping.set()

    def step(self, revision: int) -> int:
        """Make one call; return the revision to ask for next.

        Raises:
            PlatformUnavailableError: There was no answer.
        """
        reading = self._service.watch(revision, WATCH_TIMEOUT)
        self._backoff.reset()
        self._take(reading)
        return reading.revision

    def _follow(self) -> None:
        revision = 0
        while not self._stopping.is_set():
            try:
                revision = self.step(revision)
            except PlatformUnavailableError as error:
                logger.warning("instance list: {}", error.message)
                self._clock.wait(self._stopping, self._backoff.draw())
