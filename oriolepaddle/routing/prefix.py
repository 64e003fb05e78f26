"""Hashes of prompt prefixes and estimates of their size."""

import xxhash

__all__ = [
    "BLOCK_CHARACTERS",
    "BLOCK_TOKENS",
    "CHARACTERS_PER_TOKEN",
    "estimate_tokens",
    "hash_prompt",
]

CHARACTERS_PER_TOKEN = 4
BLOCK_CHARACTERS = 1024
BLOCK_TOKENS = BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text, at least 1."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def hash_prompt(text: str) -> tuple[int, ...]:
    """Return one hash for each full block of a prompt, first block first.

    Each hash covers the prompt up to its block's end, so that equal hashes
    mean equal prefixes. The part after the last full block has none.
    """
    rolling = xxhash.xxh3_64()
    hashes = []
    for start in range(0, len(text) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        block = text[start : start + BLOCK_CHARACTERS]
        rolling.update(block.encode("utf-8", "surrogatepass"))
        hashes.append(rolling.intdigest())
    return tuple(hashes)
