"""Errors of the links between instances."""

from oriolepaddle.errors.base import OriolepaddleError
from oriolepaddle.errors.code import ErrorCode

__all__ = [
    "PeerError",
    "PeerRejectedError",
    "PeerTimeoutError",
    "PeerUnavailableError",
]


class PeerError(OriolepaddleError):
    """A failed call to a peer."""

    default_code = ErrorCode.PEER_UNAVAILABLE


class PeerUnavailableError(PeerError):
    """The call did not reach the peer, which has not acted."""

    default_code = ErrorCode.PEER_UNAVAILABLE


class PeerTimeoutError(PeerError):
    """The call was sent and not answered; the peer may have acted."""

    default_code = ErrorCode.PEER_TIMEOUT


class PeerRejectedError(PeerError):
    """The peer refused the link: wrong secret or version."""

    default_code = ErrorCode.PEER_REJECTED
