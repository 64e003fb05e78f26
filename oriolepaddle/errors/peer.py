"""Errors of calls between instances."""

from oriolepaddle.errors.base import OriolepaddleError
from oriolepaddle.errors.code import ErrorCode

__all__ = [
    "PeerError",
    "PeerRejectedError",
    "PeerTimeoutError",
    "PeerUnavailableError",
]


class PeerError(OriolepaddleError):
    """A call to a peer failed."""

    default_code = ErrorCode.PEER_UNAVAILABLE


class PeerUnavailableError(PeerError):
    """The call did not reach the peer, which did not execute it."""

    default_code = ErrorCode.PEER_UNAVAILABLE


class PeerTimeoutError(PeerError):
    """The call was sent and not answered; the peer may have executed it."""

    default_code = ErrorCode.PEER_TIMEOUT


class PeerRejectedError(PeerError):
    """The peer or this instance rejected the connection.

    The secret, the protocol version or the peer's id is wrong.
    """

    default_code = ErrorCode.PEER_REJECTED
