"""Turns in which bodies in tiny chunks are parsed.

The load is many clients that send bodies in chunks of a byte or a few. Parsing a chunk
costs about as much as a kilobyte of body, and threads share one interpreter, so such
clients together could take all of its time. They share a rate instead; one alone isn't
delayed.
"""

import contextlib
import threading
from collections.abc import Iterator
from datetime import timedelta

from oriolepaddle.clock import Clock

__all__ = ["ParsingTurns"]

CHUNKS_PER_S = 100_000
"""Tiny chunks that are parsed in a second for all clients together, if several send
them."""
MIN_CHUNK_BYTES = 256
"""Mean size of chunks below which their sender waits for its turn."""


class ParsingTurns:
    """Delays clients so that all tiny chunks together stay below a rate; thread-safe.

    Args:
        clock: The source of time.
        chunks_per_s: The rate.

    Attributes:
        delayed: How many turns had to wait.
    """

    def __init__(self, clock: Clock, chunks_per_s: int = CHUNKS_PER_S) -> None:
        self._clock = clock
        self._chunks_per_s = chunks_per_s
        self._lock = threading.Lock()
        self._senders = 0
        self._free_s = 0.0
        self.delayed = 0

    @contextlib.contextmanager
    def enter(self, interrupt: threading.Event) -> Iterator["ChunkSender"]:
        """Make a sender of chunks, which counts for the duration of the context.

        Args:
            interrupt: Ends a wait when it is set.
        """
        sender = ChunkSender(self, self._clock, interrupt)
        try:
            yield sender
        finally:
            if sender.is_counted:
                self.count(-1)

    def count(self, change: int) -> None:
        """Change the number of clients that send tiny chunks."""
        with self._lock:
            self._senders += change

    def find_delay(self, chunks: int) -> timedelta:
        """Return how long a client waits before its chunks are parsed.

        Turns are given in the order in which they are asked for, each with what one
        read from the socket holds.

        Args:
            chunks: The number of tiny chunks.
        """
        with self._lock:
            if self._senders <= 1:
                return timedelta(0)
            now_s = self._clock.monotonic_s()
            start_s = max(now_s, self._free_s)
            self._free_s = start_s + chunks / self._chunks_per_s
            self.delayed += start_s > now_s
            return timedelta(seconds=start_s - now_s)


class ChunkSender:
    """One client that sends a body in chunks.

    Args:
        turns: The turns of all clients.
        clock: The clock of the waits.
        interrupt: Ends a wait when it is set.

    Attributes:
        is_counted: Whether it has sent tiny chunks.
    """

    def __init__(
        self, turns: ParsingTurns, clock: Clock, interrupt: threading.Event
    ) -> None:
        self._turns = turns
        self._clock = clock
        self._interrupt = interrupt
        self.is_counted = False

    def wait(self, chunks: int, content_bytes: int) -> None:
        """Wait until chunks may be parsed; large ones may at once.

        Args:
            chunks: Their number.
            content_bytes: The size of their content.
        """
        tiny_chunks = chunks - content_bytes // MIN_CHUNK_BYTES
        if tiny_chunks <= 0:
            return
        if not self.is_counted:
            self.is_counted = True
            self._turns.count(1)
        delay = self._turns.find_delay(tiny_chunks)
        if delay:
            self._clock.wait(self._interrupt, delay)
