"""Numbers as the fields of datagrams hold them."""

__all__ = ["clip_number", "to_ms"]

MAX_NUMBER = 2**31 - 1
"""The largest number in a field of 32 bits."""


def clip_number(number: int) -> int:
    """Return a number, or the largest one that a field has room for."""
    return min(number, MAX_NUMBER)


def to_ms(duration_s: float) -> int:
    """Return whole milliseconds, from none to the most that a field has room for."""
    return clip_number(max(0, int(duration_s * 1000)))
