"""Fingerprints, which identify repeated requests."""

import json

import xxhash

__all__ = ["VOLATILE_FIELDS", "make_fingerprint"]

VOLATILE_FIELDS = frozenset(
    {
        "idempotency_key",
        "metadata",
        "request_id",
        "sent_at",
        "timestamp",
        "trace_id",
        "user",
    }
)
"""Top-level fields that callers may change when they repeat a request."""


def make_fingerprint(
    method: str,
    path: str,
    body: bytes,
    volatile_fields: frozenset[str] = VOLATILE_FIELDS,
) -> bytes:
    """Return the 16-byte fingerprint of a request's content.

    The organisation and its key are not part of it, as content that crashes an
    engine does so for every caller. A JSON object is hashed without its
    volatile fields, and independently of field order and white space. Any
    other body is hashed byte by byte.

    Args:
        method: The HTTP method.
        path: The path without the query.
        body: The body as the caller sent it.
        volatile_fields: Top-level fields to ignore.
    """
    digest = xxhash.xxh3_128()
    for part in (method.upper().encode(), path.encode("utf-8", "surrogateescape")):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    digest.update(_make_canonical(body, volatile_fields))
    return digest.digest()


def _make_canonical(body: bytes, volatile_fields: frozenset[str]) -> bytes:
    try:
        value = json.loads(body)
        if not isinstance(value, dict):
            return body
        stable_fields = {
            name: value[name] for name in value if name not in volatile_fields
        }
        return json.dumps(stable_fields, sort_keys=True, separators=(",", ":")).encode()
    except (ValueError, RecursionError):
        return body
