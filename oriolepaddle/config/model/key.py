"""API keys, by which callers authenticate."""

import attrs

__all__ = ["Key"]


@attrs.frozen
class Key:
    """An API key, of which only the digest is stored.

    Attributes:
        id: The key's public name.
        organisation: Id of the organisation that it authenticates.
        digest: SHA-256 of the whole key in hexadecimal.
    """

    id: str
    organisation: str
    digest: str
