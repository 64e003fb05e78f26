"""Reading and watching the values below one prefix."""

import random
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.config.backoff import Backoff
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.publication import ConfigurationService, ServiceReading, ServiceValue

__all__ = ["PrefixReader"]

MIN_BACKOFF = timedelta(seconds=0.5)
MAX_BACKOFF = timedelta(seconds=30)
# Pause between two calls, which limits the calls during a burst of changes: 420
# instances with two prefixes each make fewer than 2,000 calls a second.
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 1.5


class PrefixReader:
    """Reads all values below a prefix, then watches for changes.

    `step` must not be called concurrently.

    Args:
        clock: Source of the time.
        service: The platform's configuration service.
        prefix: The prefix of the keys.
        apply: Called with the values of each reading.
        record_contact: Called after each answered call with the monotonic time in
            seconds at which the call was made.
        generator: Draws the pauses and backoff delays.
    """

    def __init__(
        self,
        clock: Clock,
        service: ConfigurationService,
        prefix: str,
        apply: Callable[[tuple[ServiceValue, ...]], None],
        record_contact: Callable[[float], None],
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._service = service
        self.prefix = prefix
        self._apply = apply
        self._record_contact = record_contact
        self._generator = generator
        self._backoff = Backoff(generator, MIN_BACKOFF, MAX_BACKOFF)
        self.revision = 0
        self.is_complete = False
        self.has_failed = False
        self.due_at_s = 0.0
        self.calls = 0

    def step(self, timeout: timedelta) -> None:
        """Make one call, apply its values and schedule the next call.

        Args:
            timeout: How long a watch may wait for changes.
        """
        requested_at_s = self._clock.monotonic_s()
        self.calls += 1
        try:
            reading = self._call(timeout)
        except PlatformUnavailableError:
            self.has_failed = True
            self._schedule(self._backoff.draw().total_seconds())
            return
        self._record_contact(requested_at_s)
        self.has_failed = False
        self._backoff.reset()
        self._apply_reading(reading)

    def _call(self, timeout: timedelta) -> ServiceReading:
        if not self.is_complete:
            return self._service.read(self.prefix, self.revision)
        return self._service.watch(self.prefix, self.revision, timeout)

    def _apply_reading(self, reading: ServiceReading) -> None:
        self._apply(reading.values)
        if reading.revision < self.revision:
            # The copy is stale or was restored from a backup. Its later values could
            # have revisions that were read before, so read all values again.
            self.revision = 0
            self.is_complete = False
        else:
            self.revision = reading.revision
            self.is_complete = reading.is_complete
        has_more = not reading.is_complete
        pause_s = self._generator.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
        self._schedule(0.0 if has_more else pause_s)

    def _schedule(self, pause_s: float) -> None:
        self.due_at_s = self._clock.monotonic_s() + pause_s
