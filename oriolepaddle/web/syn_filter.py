"""A socket filter for closing a listener without resetting new connections."""

import ctypes
import socket
import struct

from loguru import logger

__all__ = ["drop_new_connections"]

SO_ATTACH_FILTER = 26
TCP_FLAGS_OFFSET = 13
SYN_AND_ACK = 0x12
SYN = 0x02
ACCEPT_PACKET = 0xFFFF
DROP_PACKET = 0

# Instructions of a classic BPF program, as (code, jump true, jump false, k).
_LOAD_BYTE = 0x30
_AND = 0x54
_JUMP_IF_EQUAL = 0x15
_RETURN = 0x06
_PROGRAM = (
    (_LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    (_AND, 0, 0, SYN_AND_ACK),
    (_JUMP_IF_EQUAL, 0, 1, SYN),
    (_RETURN, 0, 0, DROP_PACKET),
    (_RETURN, 0, 0, ACCEPT_PACKET),
)


def drop_new_connections(listener: socket.socket) -> None:
    """Make the kernel drop the SYN packets of new connections.

    Closing a listener resets connections that are established but not accepted yet,
    so their requests are lost. With this filter no more connections are established,
    and after a round trip the backlog can be emptied for the last time. A client
    whose SYN was dropped is refused when it retransmits the SYN after the close.

    Args:
        listener: A listening TCP socket. If the system does not support the filter,
            a warning is logged and nothing else happens.
    """
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in _PROGRAM)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = struct.pack("HL", len(_PROGRAM), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        logger.warning("cannot attach the filter that drops new connections: {}", error)
