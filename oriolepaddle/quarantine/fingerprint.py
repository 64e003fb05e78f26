"""Fingerprints: which requests count as the same."""

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
"""Top-level fields that callers change when they send a request again."""


def make_fingerprint(
    method: str,
    path: str,
    body: bytes,
    volatile_fields: frozenset[str] = VOLATILE_FIELDS,
) -> bytes:
    """Return a fingerprint of what a request asks for, 16 bytes.

    The organisation and its key are no part of it: content that crashes an
    engine does so for whoever sends it. A JSON object counts without its
    volatile fields, whatever the order of its fields and its white space. Any
    other body counts byte by byte.

    Args:
        method: The HTTP method.
        path: The path without the query.
        body: The body as the caller sent it.
        volatile_fields: Top-level fields to leave out.
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
        kept = {name: value[name] for name in value if name not in volatile_fields}
        return json.dumps(kept, sort_keys=True, separators=(",", ":")).encode()
    except (ValueError, RecursionError):
        return body
