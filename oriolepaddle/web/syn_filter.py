"""Closing a listener without resetting connections that are being made."""

import ctypes
import socket
import struct

from loguru import logger

__all__ = ["drop_new_connections"]

SO_ATTACH_FILTER = 26
TCP_FLAGS_OFFSET = 13
SYN_AND_ACK = 0x12
SYN = 0x02
KEEP_WHOLE = 0xFFFF
DROP = 0

# Instructions of a classic BPF program, as (code, jump true, jump false, k).
_LOAD_BYTE = 0x30
_AND = 0x54
_JUMP_IF_EQUAL = 0x15
_RETURN = 0x06
_PROGRAM = (
    (_LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    (_AND, 0, 0, SYN_AND_ACK),
    (_JUMP_IF_EQUAL, 0, 1, SYN),
    (_RETURN, 0, 0, DROP),
    (_RETURN, 0, 0, KEEP_WHOLE),
)


def drop_new_connections(listener: socket.socket) -> None:
    """Let the kernel drop the first packet of each further connection.

    Closing a listener resets connections that were made and not accepted yet,
    and their requests with them. With this filter no new ones are made: after
    a round trip the backlog can be emptied for good. A caller whose first
    packet was dropped is refused when it is sent again.

    Args:
        listener: A listening TCP socket. Where the system has no such filter
            nothing changes.
    """
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in _PROGRAM)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = struct.pack("HL", len(_PROGRAM), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        logger.warning("new connections cannot be dropped: {}", error)
