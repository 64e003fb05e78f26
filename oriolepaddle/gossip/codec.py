"""Encoding of datagrams: a keyed digest, then thrift's compact protocol.

Instances of a large region read and write tens of datagrams a second, so thrift's
compiled codec is used; it raises other errors than the pure Python codec.
"""

import hmac

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from oriolepaddle.errors import MalformedRequestError
from oriolepaddle.peers.gen_py.gossip.ttypes import Datagram

__all__ = ["read_datagram", "write_datagram"]

DIGEST_BYTES = 16
_DECODE_ERRORS = (
    TException,
    EOFError,
    OverflowError,
    TypeError,
    UnicodeDecodeError,
    ValueError,
)
"""What the compiled and the pure Python codec raise for malformed bytes."""


def write_datagram(datagram: Datagram, secret: bytes) -> bytes:
    """Return a datagram's encoding, signed with the secret."""
    buffer = TMemoryBuffer()
    datagram.write(TCompactProtocolAccelerated(buffer))
    payload = buffer.getvalue()
    return _sign(payload, secret) + payload


def read_datagram(data: bytes, secret: bytes) -> Datagram:
    """Verify and decode a datagram.

    Raises:
        MalformedRequestError: The digest is wrong or the payload is malformed.
    """
    digest, payload = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
    if not hmac.compare_digest(digest, _sign(payload, secret)):
        raise MalformedRequestError("datagram is not signed with the peer secret")
    datagram = Datagram()
    try:
        datagram.read(TCompactProtocolAccelerated(TMemoryBuffer(payload)))
        datagram.validate()
    except _DECODE_ERRORS as error:
        raise MalformedRequestError(f"malformed datagram: {error}") from error
    return datagram


def _sign(payload: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, payload, "sha256")[:DIGEST_BYTES]
