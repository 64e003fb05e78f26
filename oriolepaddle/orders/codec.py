"""Text format of order numbers, authenticated with the peer secret."""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence

from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.orders.number import OrderNumber
from oriolepaddle.peers import PeerIdentity

__all__ = ["OrderNumberCodec"]

PREFIX = "order-1"
MAC_BYTES = 16
TAG_BYTES = 8
MAX_NUMBER_LENGTH = 1_000


class OrderNumberCodec:
    """Encodes, decodes and authenticates order numbers.

    Args:
        secrets: The current peer secret, followed by earlier ones. Numbers are
            authenticated with the first and verified with any of them, so that
            numbers issued before a rotation of the secret remain valid.
    """

    def __init__(self, secrets: Sequence[bytes]) -> None:
        self._secrets = tuple(secrets)

    def write(self, number: OrderNumber, organisation: str) -> str:
        """Encode a number that is issued to an organisation."""
        secret = self._secrets[0]
        issuer = number.issuer
        fields = [
            issuer.instance,
            str(issuer.incarnation),
            issuer.data_centre,
            f"{number.boot_id:x}",
            str(number.sequence),
            _tag(secret, organisation),
        ]
        payload = _encode("\n".join(fields).encode())
        return f"{PREFIX}.{payload}.{_encode(_mac(secret, payload))}"

    def issuer(self, number: str) -> PeerIdentity:
        """Return the issuer of a number, without checking its organisation.

        Raises:
            RefusedError: The number was not issued by this system; nothing was
                run.
        """
        return self._read(number)[0].issuer

    def parse(self, number: str, organisation: str) -> OrderNumber:
        """Decode a number and verify that it was issued to an organisation.

        Raises:
            RefusedError: The number was not issued to this organisation by this
                system; nothing was run.
        """
        parsed, tag, secret = self._read(number)
        if not hmac.compare_digest(tag, _tag(secret, organisation)):
            raise _invalid("it was issued to another organisation")
        return parsed

    def _read(self, number: str) -> tuple[OrderNumber, str, bytes]:
        prefix, _, rest = number.partition(".")
        payload, _, mac = rest.partition(".")
        if prefix != PREFIX or len(number) > MAX_NUMBER_LENGTH:
            raise _invalid("it is not an order number")
        received = _decode(mac)
        for secret in self._secrets:
            if hmac.compare_digest(_mac(secret, payload), received):
                parsed, tag = _split(_decode(payload))
                return parsed, tag, secret
        raise _invalid(
            "its signature is invalid: it was altered or issued by another system"
        )


def _split(payload: bytes) -> tuple[OrderNumber, str]:
    instance, incarnation, data_centre, boot_id, sequence, tag = payload.decode().split(
        "\n"
    )
    issuer = PeerIdentity(instance, int(incarnation), data_centre)
    return OrderNumber(issuer, int(boot_id, 16), int(sequence)), tag


def _tag(secret: bytes, organisation: str) -> str:
    # A keyed hash, so that a number does not reveal its organisation.
    message = b"organisation|" + organisation.encode()
    return hmac.digest(secret, message, hashlib.sha256)[:TAG_BYTES].hex()


def _mac(secret: bytes, payload: str) -> bytes:
    message = b"order|" + payload.encode()
    return hmac.digest(secret, message, hashlib.sha256)[:MAC_BYTES]


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    padding = "=" * (-len(text) % 4)
    try:
        return base64.b64decode(text + padding, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError) as error:
        raise _invalid("it is not base64") from error


def _invalid(reason: str) -> RefusedError:
    return RefusedError(
        f"invalid idempotency key: {reason}; request an order number first",
        code=ErrorCode.ORDER_NUMBER_INVALID,
    )
