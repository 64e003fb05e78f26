"""An order as the gateway forwards it."""

import hashlib

import attrs

__all__ = ["MAX_BODY_BYTES", "OrderRequest"]

MAX_BODY_BYTES = 1_000_000
DIGESTED_HEADERS = frozenset({"content-type", "content-encoding"})


@attrs.frozen
class OrderRequest:
    """A non-idempotent request, without the caller's API key.

    Attributes:
        request_id: The id of this request, unique in the fleet.
        organisation: The organisation whose key came with it.
        key_digest: The digest of that key, so that the instance that runs the
            order can check the key's validity again.
        method: The HTTP method.
        path: The path including the query.
        headers: Pairs of name and value, without the caller's key.
        body: The body, at most `MAX_BODY_BYTES`.
        deadline_s: The time on the local monotonic clock after which the caller
            no longer waits.
        hops: The instances that forwarded it.
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
        """Return the SHA-256 of the parts that a repeat must not change."""
        digest = hashlib.sha256()
        parts = [self.method.upper(), self.path]
        for name, value in sorted((n.lower(), v) for n, v in self.headers):
            if name in DIGESTED_HEADERS:
                parts += [name, value]
        for part in [text.encode() for text in parts] + [self.body]:
            digest.update(len(part).to_bytes(8, "big") + part)
        return digest.digest()
