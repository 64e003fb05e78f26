"""Datagrams: thrift's compact form after a digest.

Instances of a large region read and write tens of datagrams a second, so thrift's
compiled codec is used; its errors differ from those of the one in Python.
"""

import hmac

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from oriolepaddle.errors import MalformedRequestError
from oriolepaddle.peers.gen_py.gossip.ttypes import Datagram

__all__ = ["read_datagram", "write_datagram"]

DIGEST_BYTES = 16
_UNREADABLE = (
    TException,
    EOFError,
    OverflowError,
    TypeError,
    UnicodeDecodeError,
    ValueError,
)
"""What the compiled codec and the one in Python raise for malformed bytes."""


def write_datagram(datagram: Datagram, secret: bytes) -> bytes:
    """Return the bytes of a datagram."""
    buffer = TMemoryBuffer()
    datagram.write(TCompactProtocolAccelerated(buffer))
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
        datagram.read(TCompactProtocolAccelerated(TMemoryBuffer(payload)))
        datagram.validate()
    except _UNREADABLE as error:
        raise MalformedRequestError(f"an unreadable datagram: {error}") from error
    return datagram


def _sign(payload: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, payload, "sha256")[:DIGEST_BYTES]
