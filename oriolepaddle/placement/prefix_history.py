"""Prompt parts that were recently sent to an endpoint."""

from collections import OrderedDict

from oriolepaddle.placement.job import PromptPart

__all__ = ["PrefixHistory"]

PREFIX_CACHE_FRACTION = 0.6
"""Fraction of an engine's memory assumed to be available for cached prefixes."""


class PrefixHistory:
    """Estimate of an engine's prefix cache: an LRU list of the parts sent to it.

    Args:
        memory_tokens: The engine's memory in tokens.
    """

    def __init__(self, memory_tokens: int) -> None:
        self._capacity = memory_tokens * PREFIX_CACHE_FRACTION
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._stored_tokens = 0

    def count_cached(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the number of leading prompt tokens that are likely cached."""
        cached = 0
        for part in parts:
            if part.id not in self._parts:
                break
            cached += part.tokens
        return cached

    def record(self, parts: tuple[PromptPart, ...]) -> None:
        """Record the parts of a prompt that was sent."""
        # The first part becomes the most recently used one: a cached part is useful
        # only if all parts before it are cached too.
        for part in reversed(parts):
            if part.id not in self._parts:
                self._stored_tokens += part.tokens
                self._parts[part.id] = part.tokens
            self._parts.move_to_end(part.id)
        while self._stored_tokens > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._stored_tokens -= tokens
