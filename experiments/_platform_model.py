"""A discrete-event loop and a model of the configuration service."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import ManualClock
from oriolepaddle.config.prefix_reader import PrefixReader
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.publication import ServiceReading, ServiceValue

__all__ = ["Events", "ModelPlatform", "PlatformTask", "PlatformView"]

WATCH_TIMEOUT_S = 30.0
PLATFORM_DELAY_S = 0.005


class Events:
    """Runs callbacks in the order of their times and advances the clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Run `callback` at a time."""
        heapq.heappush(self._queue, (time_s, next(self._order), callback))

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run `callback` after a delay."""
        self.at(self.clock.monotonic_s() + delay_s, callback)

    def run_until(self, end_s: float) -> None:
        """Run all events up to a time and advance the clock to it."""
        while self._queue and self._queue[0][0] <= end_s:
            time_s, _, callback = heapq.heappop(self._queue)
            self._advance_to(time_s)
            callback()
        self._advance_to(end_s)

    def _advance_to(self, time_s: float) -> None:
        elapsed_s = max(0.0, time_s - self.clock.monotonic_s())
        self.clock.advance(timedelta(seconds=elapsed_s))


class ModelPlatform:
    """The configuration service; `publish` wakes pending watches."""

    def __init__(self, events: Events) -> None:
        self._events = events
        self._values: list[ServiceValue] = []
        self._watches: list[tuple[str, Callable[[], None]]] = []
        self.is_down = False
        self.calls: Counter[int] = Counter()

    def publish(self, key: str, text: str) -> None:
        """Publish a value and wake the watches of its prefix."""
        self._values.append(ServiceValue(key, text, len(self._values) + 1))
        watches, self._watches = self._watches, []
        for prefix, wake in watches:
            if key.startswith(prefix):
                self._events.after(PLATFORM_DELAY_S, wake)
            else:
                self._watches.append((prefix, wake))

    def has_changes(self, prefix: str, revision: int) -> bool:
        """Return whether a watch would return immediately."""
        return any(v.key.startswith(prefix) for v in self._values[revision:])

    def wait(self, prefix: str, wake: Callable[[], None]) -> None:
        """Call `wake` when the next value below a prefix is published."""
        self._watches.append((prefix, wake))

    def read(self, prefix: str, after_revision: int = 0) -> ServiceReading:
        """Return the values written after a revision."""
        self.calls[int(self._events.clock.monotonic_s())] += 1
        if self.is_down:
            raise PlatformUnavailableError("down")
        new_values = self._values[after_revision:]
        values = tuple(v for v in new_values if v.key.startswith(prefix))
        return ServiceReading(values, len(self._values))

    def watch(
        self, prefix: str, after_revision: int, timeout: timedelta
    ) -> ServiceReading:
        """Return the values written after a revision."""
        return self.read(prefix, after_revision)


class PlatformView:
    """The platform as seen by one instance, which may be disconnected from it."""

    def __init__(self, platform: ModelPlatform) -> None:
        self._platform = platform
        self.is_cut = False

    @property
    def is_down(self) -> bool:
        """Whether the instance gets no response."""
        return self.is_cut or self._platform.is_down

    def has_changes(self, prefix: str, revision: int) -> bool:
        """Return whether a watch would return immediately."""
        return self._platform.has_changes(prefix, revision)

    def wait(self, prefix: str, wake: Callable[[], None]) -> None:
        """Call `wake` when the next value below a prefix is published."""
        self._platform.wait(prefix, wake)

    def read(self, prefix: str, after_revision: int = 0) -> ServiceReading:
        """Return the values written after a revision."""
        if self.is_cut:
            raise PlatformUnavailableError("cut off")
        return self._platform.read(prefix, after_revision)

    def watch(
        self, prefix: str, after_revision: int, timeout: timedelta
    ) -> ServiceReading:
        """Return the values written after a revision."""
        return self.read(prefix, after_revision)


class PlatformTask:
    """Runs one `PrefixReader` in place of its thread: calls and pauses in turn."""

    def __init__(
        self, events: Events, platform: PlatformView, reader: PrefixReader
    ) -> None:
        self._events = events
        self._platform = platform
        self._reader = reader
        self._watch_number = 0
        events.at(reader.due_at_s, self._start_call)

    def _start_call(self) -> None:
        reader, platform = self._reader, self._platform
        should_watch = reader.is_complete and not platform.is_down
        if should_watch and not platform.has_changes(reader.prefix, reader.revision):
            self._watch_number += 1
            number = self._watch_number
            platform.wait(reader.prefix, lambda: self._finish_watch(number))
            self._events.after(WATCH_TIMEOUT_S, lambda: self._finish_watch(number))
            return
        self._step()

    def _finish_watch(self, number: int) -> None:
        if number == self._watch_number:
            self._watch_number += 1
            self._step()

    def _step(self) -> None:
        self._reader.step(timedelta())
        self._events.at(self._reader.due_at_s, self._start_call)
