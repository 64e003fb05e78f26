"""Who a request runs for."""

import attrs

from oriolepaddle.config import ConfigState
from oriolepaddle.config.keys import digest_key, find_key_by_digest
from oriolepaddle.config.model import Key, Organisation, Route
from oriolepaddle.errors import AuthenticationError, ErrorCode

__all__ = ["Authenticator", "Caller"]


@attrs.frozen
class Caller:
    """The holder of a valid key.

    Attributes:
        key: The key.
        organisation: The organisation that it belongs to.
    """

    key: Key
    organisation: Organisation


class Authenticator:
    """Checks keys against the configuration.

    Args:
        config: The merged configuration.
    """

    def __init__(self, config: ConfigState) -> None:
        self._config = config

    def authenticate(self, route: Route, presented: str | None) -> Caller | None:
        """Return the caller, or None on an open route.

        Raises:
            AuthenticationError: The route needs a key and none that is valid
                was shown.
        """
        if route.open:
            return None
        if presented is None:
            raise AuthenticationError(
                "this route needs a key", code=ErrorCode.KEY_MISSING
            )
        return self.find_caller(digest_key(presented))

    def find_caller(self, digest: str) -> Caller:
        """Return the caller whose key has a digest.

        Args:
            digest: The key's SHA-256 in hexadecimal.

        Raises:
            AuthenticationError: There is no such key or organisation now.
        """
        key = find_key_by_digest(self._config, digest)
        if key is None:
            raise AuthenticationError("the key is unknown or withdrawn")
        organisation = self._config.organisation(key.organisation)
        if organisation is None:
            raise AuthenticationError(
                f"organisation {key.organisation} is not configured",
                code=ErrorCode.ORGANISATION_UNKNOWN,
            )
        return Caller(key, organisation)

    def recheck(self, key: Key | None) -> None:
        """Check that a key that was valid still is.

        Raises:
            AuthenticationError: The key was withdrawn or given to another.
        """
        if key is None:
            return
        held = self._config.key_by_digest(key.digest)
        if held is None or held.organisation != key.organisation:
            raise AuthenticationError(
                "the key was withdrawn", code=ErrorCode.KEY_WITHDRAWN
            )
