"""Finds complete chunks in bytes that were received."""

import re

import attrs

__all__ = ["ChunkRun", "find_chunks"]

LINE_END = b"\r\n"
PLAIN_SIZE = re.compile(rb"[0-9A-Fa-f]{1,4}")
MAX_SIZE_DIGITS = 4
"""Longer chunks are read one by one."""


@attrs.frozen
class ChunkRun:
    """Complete chunks that follow each other, without the last one of a body.

    Attributes:
        size: The size of the chunks with their framing.
        content: Their content.
        count: Their number.
    """

    size: int
    content: bytes
    count: int


def find_chunks(data: bytes) -> ChunkRun:
    """Return the complete chunks at the beginning of some bytes.

    The framing is only located, and must still be checked by the parser: a chunk of
    which the size isn't plain digits ends the run.
    """
    parts = []
    position = 0
    while True:
        line_end = data.find(LINE_END, position, position + MAX_SIZE_DIGITS + 2)
        digits = data[position : max(position, line_end)]
        size = int(digits, 16) if PLAIN_SIZE.fullmatch(digits) else 0
        start = line_end + len(LINE_END)
        end = start + size + len(LINE_END)
        if not size or end > len(data):
            break
        parts.append(data[start : start + size])
        position = end
    return ChunkRun(position, b"".join(parts), len(parts))
