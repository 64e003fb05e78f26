"""Keeps the catalog up to date by reading and watching the store."""

import random
import threading
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.catalog.catalog import Catalog
from oriolepaddle.catalog.source import CatalogSource, HistoryGoneError
from oriolepaddle.clock import Clock
from oriolepaddle.config.backoff import Backoff
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.logs import log_event, log_unforeseen

__all__ = ["CatalogFollower"]

WATCH_TIMEOUT = timedelta(seconds=1)
"""Short, as the result of a watch confirms only that the catalog was current when
the call was sent."""
CALL_INTERVAL = timedelta(milliseconds=250)
"""Pause between two calls, so that updates of endpoints' entries are read in
batches."""
MIN_BACKOFF = timedelta(milliseconds=100)
MAX_BACKOFF = timedelta(milliseconds=800)
"""Bounds of the pause after failures; the maximum is below the time within which a
change must be applied."""
IDLE_POLL_INTERVAL = timedelta(milliseconds=200)
"""Interval between calls of `should_follow` while it returns False."""
MIN_OUTAGE = timedelta(seconds=1)
"""Duration of failures after which endpoints' entries may have expired."""


class CatalogFollower:
    """Reads everything, then watches for changes, on a thread of its own.

    Args:
        clock: The source of time.
        source: The store.
        catalog: The catalog to update.
        generator: The source of randomness for the jitter.
        should_follow: Returns whether the store is to be read now; the catalog
            relies on peers' snapshots while it is not.

    Attributes:
        call_count: The number of calls to the store.
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
        self._backoff = Backoff(generator, MIN_BACKOFF, MAX_BACKOFF)
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._follow, name="catalog", daemon=True
        )
        self._failing_since_s: float | None = None
        self.call_count = 0

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, without waiting for a call in progress to time out."""
        self._stopping.set()

    def step(self) -> None:
        """Make one call and apply its result.

        Raises:
            PlatformUnavailableError: The store did not respond.
            HistoryGoneError: The store no longer has the changes; the next call reads
                everything.
        """
        requested_at_s = self._clock.monotonic_s()
        self.call_count += 1
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
        self._record_success()
        self._catalog.apply(reading, requested_at_s)

    def _follow(self) -> None:
        while not self._stopping.is_set():
            if not self._should_follow():
                # Peers' snapshots replace what was read, so that everything must
                # be read again later.
                self._catalog.reset_watch_revision()
                self._clock.wait(self._stopping, IDLE_POLL_INTERVAL)
                continue
            try:
                self.step()
                pause = CALL_INTERVAL
            except PlatformUnavailableError as error:
                self._record_failure(error)
                pause = self._backoff.draw()
            except Exception as error:  # noqa: BLE001 - the store must be followed on
                log_unforeseen("catalog", error)
                # What was read may have been applied in part.
                self._catalog.reset_watch_revision()
                pause = self._backoff.draw()
            self._clock.wait(self._stopping, pause)

    def _record_success(self) -> None:
        self._backoff.reset()
        failing_since_s = self._failing_since_s
        if failing_since_s is None:
            return
        self._failing_since_s = None
        outage_s = self._clock.monotonic_s() - failing_since_s
        log_event("store_regained", after_s=round(outage_s, 3))
        if outage_s > MIN_OUTAGE.total_seconds():
            self._catalog.record_store_recovery()

    def _record_failure(self, error: PlatformUnavailableError) -> None:
        # After a HistoryGoneError the store did respond, so it is no outage.
        if isinstance(error, HistoryGoneError) or self._failing_since_s is not None:
            return
        self._failing_since_s = self._clock.monotonic_s()
        log_event(
            "store_lost", reason=error.message, knowledge_age_s=self._catalog.age_s()
        )
