"""Announcements as datagrams: thrift's compact form after a digest."""

import hmac

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from oriolepaddle.errors import MalformedRequestError
from oriolepaddle.peers.gen_py.gossip.ttypes import Announcement

__all__ = ["read_announcement", "write_announcement"]

DIGEST_BYTES = 16


def write_announcement(announcement: Announcement, secret: bytes) -> bytes:
    """Return a datagram."""
    buffer = TMemoryBuffer()
    announcement.write(TCompactProtocol(buffer))
    payload = buffer.getvalue()
    return _sign(payload, secret) + payload


def read_announcement(datagram: bytes, secret: bytes) -> Announcement:
    """Return the announcement of a datagram.

    Raises:
        MalformedRequestError: It is not one of an instance with the secret.
    """
    digest, payload = datagram[:DIGEST_BYTES], datagram[DIGEST_BYTES:]
    if not hmac.compare_digest(digest, _sign(payload, secret)):
        raise MalformedRequestError("a datagram without the fleet's secret")
    announcement = Announcement()
    try:
        announcement.read(TCompactProtocol(TMemoryBuffer(payload)))
        announcement.validate()
    except (TException, EOFError, UnicodeDecodeError, ValueError) as error:
        raise MalformedRequestError(f"an unreadable datagram: {error}") from error
    return announcement


def _sign(payload: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, payload, "sha256")[:DIGEST_BYTES]
