"""What this instance believes an endpoint's prefix cache to hold."""

from collections import OrderedDict

import attrs

from oriolepaddle.routing.cache_events import CacheEvents
from oriolepaddle.routing.prefix import BLOCK_TOKENS

__all__ = ["CacheView"]

GAP_CONFIDENCE = 0.95
"""Factor on the belief in a block for each batch lost since it was confirmed."""


@attrs.frozen
class _Block:
    lost: int
    seen_s: float


class CacheView:
    """Blocks expected in a cache, from own requests and late events.

    Args:
        capacity_tokens: The size of the endpoint's cache.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = max(1, capacity_tokens // BLOCK_TOKENS)
        self._blocks: OrderedDict[int, _Block] = OrderedDict()
        self._lost = 0
        self._epoch: int | None = None
        self._sequence = 0

    def expect(self, hashes: tuple[int, ...]) -> float:
        """Return the tokens of a prompt's prefix that are expected cached."""
        expected = 0.0
        for block in hashes:
            held = self._blocks.get(block)
            if held is None:
                break
            expected += GAP_CONFIDENCE ** (self._lost - held.lost)
        return expected * BLOCK_TOKENS

    def record(self, hashes: tuple[int, ...], now_s: float) -> None:
        """Note that a request with these blocks was sent to the endpoint."""
        # The prefix is put last, so that the prompt's end is dropped before it.
        for block in reversed(hashes):
            self._put(block, now_s)
        self._trim()

    def apply(self, events: CacheEvents, now_s: float) -> None:
        """Take in a batch of events; one that came too late is dropped."""
        if events.epoch != self._epoch:
            self._start_epoch(events)
        elif events.sequence <= self._sequence:
            return
        elif events.sequence > self._sequence + 1:
            self._lost += events.sequence - self._sequence - 1
        self._sequence = events.sequence
        made_s = now_s - events.age_s
        for block in events.stored:
            self._put(block, made_s)
        for block in events.evicted:
            held = self._blocks.get(block)
            if held is not None and held.seen_s <= made_s:
                del self._blocks[block]
        self._trim()

    def clear(self) -> None:
        """Forget all blocks, after the endpoint has failed."""
        self._blocks.clear()

    def _start_epoch(self, events: CacheEvents) -> None:
        if self._epoch is not None:
            self._blocks.clear()
        self._epoch = events.epoch

    def _put(self, block: int, seen_s: float) -> None:
        held = self._blocks.get(block)
        if held is not None:
            seen_s = max(seen_s, held.seen_s)
        self._blocks[block] = _Block(self._lost, seen_s)
        self._blocks.move_to_end(block)

    def _trim(self) -> None:
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)
