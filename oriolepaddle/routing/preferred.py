"""The preferred target of a document, where its prefix is expected to be cached."""

import math
from collections.abc import Mapping

import xxhash

__all__ = ["find_preferred"]

DOCUMENT_PREFIX_BLOCKS = 4
"""Number of leading blocks whose hash identifies the document; fewer blocks may be
shared by several documents."""
UNIFORM_BITS = 52
"""Bits of a hash that a float represents exactly together with the added 0.5."""


def find_preferred(
    prefix_hashes: tuple[int, ...], weights: Mapping[str, float]
) -> str | None:
    """Return a prompt's preferred target by weighted rendezvous hashing, or None.

    Instances with the same weights find the same target without communication. Adding
    or removing a target moves only the documents that are assigned to it.

    Args:
        prefix_hashes: Hashes of the prompt's blocks; a short prompt has no
            preferred target.
        weights: The targets to choose among, each with a weight above 0.
    """
    if len(prefix_hashes) < DOCUMENT_PREFIX_BLOCKS or not weights:
        return None
    document = prefix_hashes[DOCUMENT_PREFIX_BLOCKS - 1]
    return max(
        weights, key=lambda target: _compute_score(document, target, weights[target])
    )


def _compute_score(document: int, target: str, weight: float) -> tuple[float, str]:
    digest = xxhash.xxh3_64_intdigest(target.encode(), seed=document)
    uniform = ((digest >> (64 - UNIFORM_BITS)) + 0.5) / 2**UNIFORM_BITS
    return weight / -math.log(uniform), target
