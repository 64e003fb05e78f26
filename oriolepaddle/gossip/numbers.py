"""Conversion of numbers to the 32-bit fields of datagrams."""

__all__ = ["clip_number", "to_ms", "to_seconds"]

MAX_NUMBER = 2**31 - 1
"""The largest value of a signed 32-bit field."""


def clip_number(number: int) -> int:
    """Return a number, at most the largest that fits a 32-bit field."""
    return min(number, MAX_NUMBER)


def to_ms(duration_s: float) -> int:
    """Return whole milliseconds from 0 to `MAX_NUMBER`, which stands for infinity."""
    if duration_s == float("inf"):
        return MAX_NUMBER
    return clip_number(max(0, int(duration_s * 1000)))


def to_seconds(duration_ms: int) -> float:
    """Return the seconds of a number of `to_ms`; infinite for `MAX_NUMBER`."""
    return float("inf") if duration_ms >= MAX_NUMBER else duration_ms / 1000
