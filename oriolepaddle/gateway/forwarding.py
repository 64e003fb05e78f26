"""Passing a request on to an instance of another data centre."""

import hashlib
import hmac

import attrs
from werkzeug.wrappers import Request

from oriolepaddle.errors import ErrorCode, RefusedError

__all__ = ["ForwardedRequest", "ForwardingSigner"]

HEADER_PREFIX = "X-Oriolepaddle-"
MAX_HOPS = 1
_FIELDS = ("Hops", "Key-Digest", "Deadline-Left-Ms", "Signature")


@attrs.frozen
class ForwardedRequest:
    """What the instance that passed a request on says of it.

    Attributes:
        hops: Ids of the instances that passed it on.
        key_digest: The SHA-256 of the caller's key, empty on open routes.
        deadline_left_s: Seconds until the answer is of no use.
    """

    hops: tuple[str, ...]
    key_digest: str
    deadline_left_s: float


class ForwardingSigner:
    """Signs forwarded requests with the peer secret and checks them.

    Args:
        secret: The peer secret.
        instance: This instance's id, refused among a request's hops.
    """

    def __init__(self, secret: bytes, instance: str) -> None:
        self._secret = secret
        self._instance = instance

    def sign(
        self, forwarded: ForwardedRequest, request_id: str, path: str, body: bytes
    ) -> tuple[tuple[str, str], ...]:
        """Return the header fields that carry and sign `forwarded`."""
        values = (
            ",".join(forwarded.hops),
            forwarded.key_digest,
            str(int(forwarded.deadline_left_s * 1000)),
        )
        signature = self._make_signature(values, request_id, path, body)
        names = [HEADER_PREFIX + name for name in _FIELDS]
        return tuple(zip(names, (*values, signature), strict=True))

    def check(self, request: Request, body: bytes) -> ForwardedRequest | None:
        """Return what the sender says, or None for a caller's own request.

        Raises:
            RefusedError: The signature is wrong, or the request has passed
                through this instance or through too many.
        """
        values = [request.headers.get(HEADER_PREFIX + name) for name in _FIELDS]
        if all(value is None for value in values):
            return None
        *signed, signature = (value or "" for value in values)
        request_id = request.environ["oriolepaddle.request_id"]
        path = request.environ["REQUEST_URI"]
        expected = self._make_signature(tuple(signed), request_id, path, body)
        if not hmac.compare_digest(expected, signature):
            raise RefusedError(
                "the request is not signed by a peer", code=ErrorCode.PEER_REJECTED
            )
        hops = tuple(signed[0].split(","))
        if self._instance in hops or len(hops) > MAX_HOPS:
            raise RefusedError(
                "the request was passed on before", code=ErrorCode.HOP_LIMIT
            )
        return ForwardedRequest(hops, signed[1], int(signed[2]) / 1000)

    def _make_signature(
        self, values: tuple[str, ...], request_id: str, path: str, body: bytes
    ) -> str:
        text = "\n".join((*values, request_id, path)).encode()
        message = text + hashlib.sha256(body).digest()
        return hmac.new(self._secret, message, hashlib.sha256).hexdigest()
