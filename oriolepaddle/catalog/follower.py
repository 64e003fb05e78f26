"""Following the store, so that the catalog stays current."""

import random
import threading
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.catalog.catalog import Catalog
from oriolepaddle.catalog.source import CatalogSource, HistoryGoneError
from oriolepaddle.clock import Clock
from oriolepaddle.config.backoff import Backoff
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.logs import log_event

__all__ = ["CatalogFollower"]

WATCH_TIMEOUT = timedelta(seconds=1)
"""Short, as a waiting watch proves nothing of the time at which it waits."""
PAUSE = timedelta(milliseconds=250)
"""Between two calls, so that endpoints' heartbeats are read in batches."""
SHORTEST_BACKOFF = timedelta(milliseconds=100)
LONGEST_BACKOFF = timedelta(milliseconds=800)
"""Bounds after failures; below the time in which changes must be in force."""
IDLE_POLL = timedelta(milliseconds=200)
OUTAGE = timedelta(seconds=1)
"""Failures for this long may have made endpoints' entries lapse."""


class CatalogFollower:
    """Reads all, then watches, on one thread.

    Args:
        clock: The time.
        source: The store.
        catalog: Takes what is read.
        generator: Draws the jitter.
        should_follow: Whether the store is to be read now; others' word serves
            while it is not.
    """

    def __init__(
        self,
        clock: Clock,
        source: CatalogSource,
        catalog: Catalog,
        generator: random.Random,
        should_follow: Callable[[], bool] = lambda: True,
    ) -> None:
        self._should_follow = should_follow
        self._clock = clock
        self._source = source
        self._catalog = catalog
        self._backoff = Backoff(generator, SHORTEST_BACKOFF, LONGEST_BACKOFF)
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._follow, name="catalog", daemon=True
        )
        self._failing_since_s: float | None = None
        self.calls = 0

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop; a waiting call is left to its timeout."""
        self._stopping.set()

    def step(self) -> None:
        """Make one call and take in its result.

        Raises:
            PlatformUnavailableError: There was no answer.
        """
        asked_at_s = self._clock.monotonic_s()
        self.calls += 1
        revision = self._catalog.watch_revision
        try:
            if revision is None:
                reading = self._source.read()
            else:
                reading = self._source.watch(revision, WATCH_TIMEOUT)
        except HistoryGoneError:
            log_event("store_history_gone", revision=revision)
            self._catalog.reset_watch_revision()
            raise
        self._note_success()
        self._catalog.apply(reading, asked_at_s)

    def _follow(self) -> None:
        while not self._stopping.is_set():
            if not self._should_follow():
                # What was read is replaced by others' word and read anew.
                self._catalog.reset_watch_revision()
                self._clock.wait(self._stopping, IDLE_POLL)
                continue
            try:
                self.step()
                pause = PAUSE
            except PlatformUnavailableError as error:
                self._note_failure(error)
                pause = self._backoff.draw()
            self._clock.wait(self._stopping, pause)

    def _note_success(self) -> None:
        self._backoff.reset()
        since_s = self._failing_since_s
        if since_s is None:
            return
        self._failing_since_s = None
        outage_s = self._clock.monotonic_s() - since_s
        log_event("store_regained", after_s=round(outage_s, 3))
        if outage_s > OUTAGE.total_seconds():
            self._catalog.record_store_recovery()

    def _note_failure(self, error: PlatformUnavailableError) -> None:
        if isinstance(error, HistoryGoneError) or self._failing_since_s is not None:
            return
        self._failing_since_s = self._clock.monotonic_s()
        log_event(
            "store_lost", reason=error.message, knowledge_age_s=self._catalog.age_s()
        )
