"""The signed headers of requests that an instance forwards to another."""

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
    """The forwarding instance's statement about a request.

    Attributes:
        hops: Ids of the instances that forwarded the request.
        key_digest: The SHA-256 digest of the caller's key; empty on open routes.
        deadline_left_s: Seconds until the request's deadline.
    """

    hops: tuple[str, ...]
    key_digest: str
    deadline_left_s: float


class ForwardingSigner:
    """Signs forwarded requests with the peer secret and verifies signatures.

    Args:
        secret: The secret that all instances share.
        instance: This instance's id; requests with it among their hops are refused.
    """

    def __init__(self, secret: bytes, instance: str) -> None:
        self._secret = secret
        self._instance = instance

    def sign(
        self, forwarded: ForwardedRequest, request_id: str, path: str, body: bytes
    ) -> tuple[tuple[str, str], ...]:
        """Return the header fields with the contents of `forwarded` and a signature."""
        values = (
            ",".join(forwarded.hops),
            forwarded.key_digest,
            str(int(forwarded.deadline_left_s * 1000)),
        )
        signature = self._make_signature(values, request_id, path, body)
        names = [HEADER_PREFIX + name for name in _FIELDS]
        return tuple(zip(names, (*values, signature), strict=True))

    def check(self, request: Request, body: bytes) -> ForwardedRequest | None:
        """Verify a forwarded request, or return None for a caller's own request.

        Raises:
            RefusedError: The signature is invalid, or the request has been forwarded
                by this instance or too many times.
        """
        values = [request.headers.get(HEADER_PREFIX + name) for name in _FIELDS]
        if all(value is None for value in values):
            return None
        *signed_values, signature = (value or "" for value in values)
        request_id = request.environ["oriolepaddle.request_id"]
        path = request.environ["REQUEST_URI"]
        expected = self._make_signature(tuple(signed_values), request_id, path, body)
        if not hmac.compare_digest(expected, signature):
            raise RefusedError(
                "the request has no valid signature of a peer",
                code=ErrorCode.PEER_REJECTED,
            )
        hops = tuple(signed_values[0].split(","))
        if self._instance in hops or len(hops) > MAX_HOPS:
            raise RefusedError(
                "the request has already been forwarded once", code=ErrorCode.HOP_LIMIT
            )
        return ForwardedRequest(hops, signed_values[1], int(signed_values[2]) / 1000)

    def _make_signature(
        self, values: tuple[str, ...], request_id: str, path: str, body: bytes
    ) -> str:
        text = "\n".join((*values, request_id, path)).encode()
        message = text + hashlib.sha256(body).digest()
        return hmac.new(self._secret, message, hashlib.sha256).hexdigest()
