"""How the C library keeps memory that was freed."""

import ctypes

from oriolepaddle.logs import log_event

__all__ = ["limit_heap"]

M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
MMAP_THRESHOLD_BYTES = 131_072
"""The library's first value. It raises it up to 32 MB once a large block was freed, and
then keeps the blocks of bodies in its heaps for good."""
MAX_ARENAS = 2
"""Heaps that threads share. With eight for each processor, freed blocks of the many
threads of connections add up."""


def limit_heap() -> bool:
    """Have freed memory of bodies returned to the system; return whether it is so."""
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as error:
        # Other C libraries than glibc have no such options.
        log_event("heap_not_limited", reason=str(error))
        return False
    is_set = set_option(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    return bool(is_set and set_option(M_ARENA_MAX, MAX_ARENAS))
