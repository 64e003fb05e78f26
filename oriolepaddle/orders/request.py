"""An order as the gateway passes it on."""

import hashlib

import attrs

__all__ = ["MAX_BODY_BYTES", "OrderRequest"]

MAX_BODY_BYTES = 1_000_000
DIGESTED_HEADERS = frozenset({"content-type", "content-encoding"})


@attrs.frozen
class OrderRequest:
    """A non-idempotent request, without the caller's key.

    Attributes:
        request_id: The id of this sending, unique over the fleet.
        organisation: The organisation whose key came with it.
        key_digest: The digest of that key, so that its validity can be checked
            again where the order is run.
        method: The HTTP method.
        path: The path with its query.
        headers: Pairs of name and value, without the caller's key.
        body: The body, at most `MAX_BODY_BYTES`.
        deadline_s: The monotonic time of the reader's own clock at which the
            caller no longer waits.
        hops: The instances that passed it on.
    """

    request_id: str
    organisation: str
    key_digest: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float
    hops: tuple[str, ...] = ()

    def digest(self) -> bytes:
        """Return the SHA-256 of what must be the same in every repeat."""
        digest = hashlib.sha256()
        parts = [self.method.upper(), self.path]
        for name, value in sorted((n.lower(), v) for n, v in self.headers):
            if name in DIGESTED_HEADERS:
                parts += [name, value]
        for part in [text.encode() for text in parts] + [self.body]:
            digest.update(len(part).to_bytes(8, "big") + part)
        return digest.digest()
