"""The home of a document: where all instances expect its prefix to be cached."""

import math
from collections.abc import Mapping

import xxhash

__all__ = ["find_home"]

DOCUMENT_BLOCKS = 4
"""Blocks of a prompt that name its document; earlier ones may be shared."""
DRAW_BITS = 52
"""Bits of a hash that a float holds exactly, with half a step to spare."""


def find_home(
    prefix_hashes: tuple[int, ...], weights: Mapping[str, float]
) -> str | None:
    """Return the home of a prompt by weighted rendezvous hashing, or None.

    Instances with the same weights find the same home without a word between
    them, and a place that comes or goes moves only the documents at it.

    Args:
        prefix_hashes: Hashes of the prompt's blocks; a short prompt has no home.
        weights: The places to choose among, each with its weight above 0.
    """
    if len(prefix_hashes) < DOCUMENT_BLOCKS or not weights:
        return None
    document = prefix_hashes[DOCUMENT_BLOCKS - 1]
    return max(weights, key=lambda place: _draw(document, place, weights[place]))


def _draw(document: int, place: str, weight: float) -> tuple[float, str]:
    digest = xxhash.xxh3_64_intdigest(place.encode(), seed=document)
    uniform = ((digest >> (64 - DRAW_BITS)) + 0.5) / 2**DRAW_BITS
    return weight / -math.log(uniform), place
