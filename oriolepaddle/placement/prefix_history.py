"""Prompt parts that an endpoint has read lately."""

from collections import OrderedDict

from oriolepaddle.placement.job import PromptPart

__all__ = ["PrefixHistory"]

CACHE_PART = 0.6
"""Part of an engine's memory taken to be left for cached prefixes."""


class PrefixHistory:
    """The parts sent to one engine, the least recently used going first.

    Args:
        memory_tokens: The engine's memory.
    """

    def __init__(self, memory_tokens: int) -> None:
        self._capacity = memory_tokens * CACHE_PART
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._held = 0

    def count_cached(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens at the start of a prompt that are likely cached."""
        cached = 0
        for part in parts:
            if part.id not in self._parts:
                break
            cached += part.tokens
        return cached

    def record(self, parts: tuple[PromptPart, ...]) -> None:
        """Note that a prompt was sent."""
        # The first part is put last, as a part is of use only after those
        # before it.
        for part in reversed(parts):
            if part.id not in self._parts:
                self._held += part.tokens
                self._parts[part.id] = part.tokens
            self._parts.move_to_end(part.id)
        while self._held > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._held -= tokens
