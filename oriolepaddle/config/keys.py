"""Look-up of the API key that a caller presents."""

import hashlib
import hmac

from oriolepaddle.config.model import Key
from oriolepaddle.config.state import ConfigState

__all__ = ["digest_key", "find_key", "find_key_by_digest"]


def digest_key(presented_key: str) -> str:
    """Return the SHA-256 of a whole key in hexadecimal."""
    return hashlib.sha256(presented_key.encode()).hexdigest()


def find_key(state: ConfigState, presented_key: str) -> Key | None:
    """Return the live key that a caller presents, or None."""
    return find_key_by_digest(state, digest_key(presented_key))


def find_key_by_digest(state: ConfigState, digest: str) -> Key | None:
    """Return the live key with a digest, or None.

    The look-up is by SHA-256, whose value a caller cannot choose, and the digest found
    is compared again in constant time.
    """
    key = state.key_by_digest(digest)
    if key is None or not hmac.compare_digest(key.digest, digest):
        return None
    return key
