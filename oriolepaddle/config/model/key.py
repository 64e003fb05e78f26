"""Keys: what callers show."""

import attrs

__all__ = ["Key"]


@attrs.frozen
class Key:
    """A caller's key, known only by its digest.

    Attributes:
        id: The key's public name.
        organisation: The organisation whose requests it allows.
        digest: The SHA-256 of the whole key in hexadecimal.
    """

    id: str
    organisation: str
    digest: str
