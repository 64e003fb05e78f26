"""Datagrams: thrift's compact form after a digest."""

import hmac

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from oriolepaddle.errors import MalformedRequestError
from oriolepaddle.peers.gen_py.gossip.ttypes import Datagram

__all__ = ["read_datagram", "write_datagram"]

DIGEST_BYTES = 16


def write_datagram(datagram: Datagram, secret: bytes) -> bytes:
    """Return the bytes of a datagram."""
    buffer = TMemoryBuffer()
    datagram.write(TCompactProtocol(buffer))
    payload = buffer.getvalue()
    return _sign(payload, secret) + payload


def read_datagram(data: bytes, secret: bytes) -> Datagram:
    """Return the datagram that an instance with the secret sent.

    Raises:
        MalformedRequestError: It is not one of an instance with the secret.
    """
    digest, payload = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
    if not hmac.compare_digest(digest, _sign(payload, secret)):
        raise MalformedRequestError("a datagram without the fleet's secret")
    datagram = Datagram()
    try:
        datagram.read(TCompactProtocol(TMemoryBuffer(payload)))
        datagram.validate()
    except (TException, EOFError, UnicodeDecodeError, ValueError) as error:
        raise MalformedRequestError(f"an unreadable datagram: {error}") from error
    return datagram


def _sign(payload: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, payload, "sha256")[:DIGEST_BYTES]
