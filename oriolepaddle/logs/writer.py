"""Log lines as JSON through a bounded queue."""

import json
import threading
from collections import deque
from typing import Any, TextIO

from oriolepaddle.clock import Clock

__all__ = ["BoundedLogWriter"]

MAX_WAITING_LINES = 4096
"""Lines held while the reader does not take them; about 1 MB."""
BATCH_LINES = 256


class BoundedLogWriter:
    """A loguru sink that hands lines to a thread and drops what is too much.

    Args:
        stream: Where the lines go.
        clock: The time, for the bound on lines a second.
        max_lines_per_s: Lines written in one second; more are dropped and
            counted in a line of their own.
    """

    def __init__(self, stream: TextIO, clock: Clock, max_lines_per_s: int) -> None:
        self._stream = stream
        self._clock = clock
        self._max_lines_per_s = max_lines_per_s
        self._lines: deque[str] = deque()
        self._changed = threading.Condition()
        self._second = 0
        self._taken = 0
        self._dropped_unsaid = 0
        self.dropped = 0
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def __call__(self, message: Any) -> None:
        """Take one of loguru's messages."""
        line = _format(message.record)
        with self._changed:
            second = int(self._clock.monotonic_s())
            if second != self._second:
                self._second, self._taken = second, 0
                self._tell_dropped()
            is_full = len(self._lines) >= MAX_WAITING_LINES
            if is_full or self._taken >= self._max_lines_per_s:
                self.dropped += 1
                self._dropped_unsaid += 1
                return
            self._taken += 1
            self._lines.append(line)
            self._changed.notify()

    def close(self) -> None:
        """Write what waits, for at most a second, and end."""
        with self._changed:
            self._tell_dropped()
            self._is_closed = True
            self._changed.notify()
        self._thread.join(timeout=1)

    def _tell_dropped(self) -> None:
        if self._dropped_unsaid and len(self._lines) < MAX_WAITING_LINES:
            line = {"event": "log_lines_dropped", "lines": self._dropped_unsaid}
            self._lines.append(json.dumps(line))
            self._dropped_unsaid = 0

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._lines and not self._is_closed:
                    self._changed.wait()
                if not self._lines:
                    return
                count = min(BATCH_LINES, len(self._lines))
                batch = [self._lines.popleft() for _ in range(count)]
            try:
                self._stream.write("\n".join(batch) + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                # Whoever read the lines is gone; there is nobody to tell.
                self.dropped += len(batch)


def _format(record: Any) -> str:
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return json.dumps(line, default=str)
