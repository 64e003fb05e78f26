"""The prefix cache of an engine stand-in, and the cache events it publishes."""

import threading
from collections import OrderedDict, deque

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.routing import hash_prompt

__all__ = ["PrefixCacheStandin"]

MAX_EVENT_BATCHES = 64


@attrs.frozen
class _EventBatch:
    sequence: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]
    created_s: float


class PrefixCacheStandin:
    """An LRU cache of prompt blocks with a bounded log of its changes.

    Args:
        clock: The clock for the age of changes.
        epoch: The incarnation of the engine.
        max_blocks: The capacity in blocks.
    """

    def __init__(self, clock: Clock, epoch: int, max_blocks: int = 256) -> None:
        self.epoch = epoch
        self._clock = clock
        self._max_blocks = max_blocks
        self._lock = threading.Lock()
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._batches: deque[_EventBatch] = deque(maxlen=MAX_EVENT_BATCHES)
        self._sequence = 0

    def use(self, prompt: str) -> int:
        """Add a prompt's blocks to the cache; return how many were cached already."""
        hashes = hash_prompt(prompt)
        with self._lock:
            stored = tuple(block for block in hashes if block not in self._blocks)
            for block in hashes:
                self._blocks[block] = None
                self._blocks.move_to_end(block)
            evicted = self._evict()
            if stored or evicted:
                self._sequence += 1
                now_s = self._clock.monotonic_s()
                self._batches.append(
                    _EventBatch(self._sequence, stored, evicted, now_s)
                )
        return len(hashes) - len(stored)

    def describe(self, after: int) -> dict:
        """Return the stored batches with a sequence number greater than `after`."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            batches = [batch for batch in self._batches if batch.sequence > after]
        return {
            "epoch": self.epoch,
            "batches": [
                {
                    "sequence": batch.sequence,
                    "stored": [f"{block:016x}" for block in batch.stored],
                    "evicted": [f"{block:016x}" for block in batch.evicted],
                    "age_s": now_s - batch.created_s,
                }
                for batch in batches
            ],
        }

    def _evict(self) -> tuple[int, ...]:
        evicted = []
        while len(self._blocks) > self._max_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        return tuple(evicted)
