"""This instance's estimate of the contents of an endpoint's prefix cache."""

from collections import OrderedDict

import attrs

from oriolepaddle.routing.cache_events import CacheEvents
from oriolepaddle.routing.prefix import BLOCK_TOKENS

__all__ = ["CacheView"]

GAP_CONFIDENCE = 0.95
"""Factor on the confidence in a block for each batch of events that was lost since the
block was confirmed."""


@attrs.frozen
class _Block:
    lost_batches: int
    confirmed_s: float


class CacheView:
    """Blocks expected in a cache, from own requests and delayed cache events.

    Args:
        capacity_tokens: The size of the endpoint's cache in tokens.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = max(1, capacity_tokens // BLOCK_TOKENS)
        self._blocks: OrderedDict[int, _Block] = OrderedDict()
        self._lost_batches = 0
        self._epoch: int | None = None
        self._sequence = 0

    def estimate_cached_tokens(self, hashes: tuple[int, ...]) -> float:
        """Return the expected number of cached tokens of a prompt's prefix."""
        expected = 0.0
        for block in hashes:
            entry = self._blocks.get(block)
            if entry is None:
                break
            expected += GAP_CONFIDENCE ** (self._lost_batches - entry.lost_batches)
        return expected * BLOCK_TOKENS

    def record(self, hashes: tuple[int, ...], now_s: float) -> None:
        """Record that a request with these blocks was sent to the endpoint."""
        # The first block becomes the most recently used one, so that the end of the
        # prompt is evicted before its prefix.
        for block in reversed(hashes):
            self._put(block, now_s)
        self._trim()

    def apply(self, events: CacheEvents, now_s: float) -> None:
        """Apply a batch of events; an outdated or repeated batch is ignored."""
        if events.epoch != self._epoch:
            self._start_epoch(events)
        elif events.sequence <= self._sequence:
            return
        elif events.sequence > self._sequence + 1:
            self._lost_batches += events.sequence - self._sequence - 1
        self._sequence = events.sequence
        occurred_s = now_s - events.age_s
        for block in events.stored:
            self._put(block, occurred_s)
        for block in events.evicted:
            entry = self._blocks.get(block)
            if entry is not None and entry.confirmed_s <= occurred_s:
                del self._blocks[block]
        self._trim()

    def clear(self) -> None:
        """Remove all blocks, after the endpoint has failed."""
        self._blocks.clear()

    def _start_epoch(self, events: CacheEvents) -> None:
        if self._epoch is not None:
            self._blocks.clear()
        self._epoch = events.epoch

    def _put(self, block: int, confirmed_s: float) -> None:
        entry = self._blocks.get(block)
        if entry is not None:
            confirmed_s = max(confirmed_s, entry.confirmed_s)
        self._blocks[block] = _Block(self._lost_batches, confirmed_s)
        self._blocks.move_to_end(block)

    def _trim(self) -> None:
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)
