"""The keys under which crashes are recorded."""

from collections.abc import Iterable

import attrs
import xxhash

__all__ = ["RequestKeys", "make_request_keys"]

MAX_PARTS = 16
"""Parts of one prompt that are recorded; prompts have few, callers could send many."""
MAX_ID_LENGTH = 40
"""Length above which an id is replaced by its digest, so that entries stay small."""


@attrs.frozen
class RequestKeys:
    """What a crash of an endpoint may be due to, for one request.

    Attributes:
        request: A digest of the whole request, independent of its caller.
        parts: The parts of its prompt that other prompts may share, for its service.
        exact: A digest that includes the last part of its prompt, which may be new each
            time that the request is sent; empty if it has no such part.
    """

    request: str
    parts: frozenset[str] = frozenset()
    exact: str = ""

    @property
    def requests(self) -> frozenset[str]:
        """The digests of the whole request."""
        return frozenset({self.request, self.exact} - {""})

    @property
    def all(self) -> frozenset[str]:
        """The request and its parts."""
        return self.parts | self.requests


def make_request_keys(
    service: str,
    content: Iterable[bytes],
    part_ids: Iterable[str],
    last_part_id: bytes = b"",
) -> RequestKeys:
    """Return the keys of a request.

    A part is recorded for each service apart, since another model may be able to
    process it.

    Args:
        service: The service that runs the request.
        content: What makes two requests the same.
        part_ids: The parts that other prompts may share.
        last_part_id: The last part of its prompt, if it isn't part of the content.
    """
    digest = xxhash.xxh3_128()
    for field in content:
        digest.update(len(field).to_bytes(8, "big") + field)
    request = f"request:{digest.hexdigest()}"
    digest.update(last_part_id)
    parts = list(part_ids)[:MAX_PARTS]
    return RequestKeys(
        request,
        frozenset(f"{service}/{_shorten(part)}" for part in parts),
        f"request:{digest.hexdigest()}" if last_part_id else "",
    )


def _shorten(name: str) -> str:
    if len(name) <= MAX_ID_LENGTH:
        return name
    return xxhash.xxh3_128_hexdigest(name.encode("utf-8", "surrogateescape"))
