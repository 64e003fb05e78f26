"""A clock moved by events, and a model of the configuration service."""

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
    """Runs callbacks in the order of their times and moves the clock."""

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
        """Run all events up to a time."""
        while self._queue and self._queue[0][0] <= end_s:
            time_s, _, callback = heapq.heappop(self._queue)
            self._move(time_s)
            callback()
        self._move(end_s)

    def _move(self, time_s: float) -> None:
        passed_s = max(0.0, time_s - self.clock.monotonic_s())
        self.clock.advance(timedelta(seconds=passed_s))


class ModelPlatform:
    """The configuration service; a waiting watch is woken by `publish`."""

    def __init__(self, events: Events) -> None:
        self._events = events
        self._values: list[ServiceValue] = []
        self._waiting: list[tuple[str, Callable[[], None]]] = []
        self.is_down = False
        self.calls: Counter[int] = Counter()

    def publish(self, key: str, text: str) -> None:
        """Publish a value and wake the watches."""
        self._values.append(ServiceValue(key, text, len(self._values) + 1))
        waiting, self._waiting = self._waiting, []
        for prefix, wake in waiting:
            if key.startswith(prefix):
                self._events.after(PLATFORM_DELAY_S, wake)
            else:
                self._waiting.append((prefix, wake))

    def has_news(self, prefix: str, revision: int) -> bool:
        """Return whether a watch would return at once."""
        return any(v.key.startswith(prefix) for v in self._values[revision:])

    def wait(self, prefix: str, wake: Callable[[], None]) -> None:
        """Call `wake` with the next publication below a prefix."""
        self._waiting.append((prefix, wake))

    def read(self, prefix: str, after_revision: int = 0) -> ServiceReading:
        """Return the values written after a revision."""
        self.calls[int(self._events.clock.monotonic_s())] += 1
        if self.is_down:
            raise PlatformUnavailableError("down")
        news = self._values[after_revision:]
        values = tuple(v for v in news if v.key.startswith(prefix))
        return ServiceReading(values, len(self._values))

    def watch(
        self, prefix: str, after_revision: int, timeout: timedelta
    ) -> ServiceReading:
        """Return the values written after a revision."""
        return self.read(prefix, after_revision)


class PlatformView:
    """The platform as one instance reaches it."""

    def __init__(self, platform: ModelPlatform) -> None:
        self._platform = platform
        self.is_cut = False

    @property
    def is_down(self) -> bool:
        """Whether the instance gets no answer."""
        return self.is_cut or self._platform.is_down

    def has_news(self, prefix: str, revision: int) -> bool:
        """Return whether a watch would return at once."""
        return self._platform.has_news(prefix, revision)

    def wait(self, prefix: str, wake: Callable[[], None]) -> None:
        """Call `wake` with the next publication below a prefix."""
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
    """Drives one `PrefixReader` as its thread would: a call, a pause, a call."""

    def __init__(
        self, events: Events, platform: PlatformView, reader: PrefixReader
    ) -> None:
        self._events = events
        self._platform = platform
        self._reader = reader
        self._wakes = 0
        events.at(reader.due_at_s, self._begin)

    def _begin(self) -> None:
        reader, platform = self._reader, self._platform
        must_wait = reader.is_complete and not platform.is_down
        if must_wait and not platform.has_news(reader.prefix, reader.revision):
            self._wakes += 1
            number = self._wakes
            platform.wait(reader.prefix, lambda: self._finish(number))
            self._events.after(WATCH_TIMEOUT_S, lambda: self._finish(number))
            return
        self._step()

    def _finish(self, number: int) -> None:
        if number == self._wakes:
            self._wakes += 1
            self._step()

    def _step(self) -> None:
        self._reader.step(timedelta())
        self._events.at(self._reader.due_at_s, self._begin)
