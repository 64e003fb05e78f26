"""Log lines as JSON through a bounded queue."""

import json
import threading
from collections import deque
from typing import Any, TextIO

from oriolepaddle.clock import Clock

__all__ = ["BoundedLogWriter"]

MAX_QUEUED_LINES = 4096
"""Lines queued while the stream blocks; about 1 MB."""
BATCH_LINES = 256


class BoundedLogWriter:
    """A loguru sink that writes on a background thread and drops excess lines.

    Args:
        stream: The stream that the lines are written to.
        clock: The clock of the limit on lines per second.
        max_lines_per_s: Most lines written in one second; further lines are dropped,
            and a separate line reports their number.
    """

    def __init__(self, stream: TextIO, clock: Clock, max_lines_per_s: int) -> None:
        self._stream = stream
        self._clock = clock
        self._max_lines_per_s = max_lines_per_s
        self._lines: deque[str] = deque()
        self._changed = threading.Condition()
        self._second = 0
        self._accepted_lines = 0
        self._unreported_drops = 0
        self.dropped = 0
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def __call__(self, message: Any) -> None:
        """Queue one message of loguru, or drop it."""
        line = _format(message.record)
        with self._changed:
            second = int(self._clock.monotonic_s())
            if second != self._second:
                self._second, self._accepted_lines = second, 0
                self._report_dropped()
            is_full = len(self._lines) >= MAX_QUEUED_LINES
            if is_full or self._accepted_lines >= self._max_lines_per_s:
                self.dropped += 1
                self._unreported_drops += 1
                return
            self._accepted_lines += 1
            self._lines.append(line)
            self._changed.notify()

    def close(self) -> None:
        """Write the queued lines, for at most a second, and stop."""
        with self._changed:
            self._report_dropped()
            self._is_closed = True
            self._changed.notify()
        self._thread.join(timeout=1)

    def _report_dropped(self) -> None:
        if self._unreported_drops and len(self._lines) < MAX_QUEUED_LINES:
            line = {"event": "log_lines_dropped", "lines": self._unreported_drops}
            self._lines.append(json.dumps(line))
            self._unreported_drops = 0

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
                # The stream's reader is gone, so the loss cannot be reported there.
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
