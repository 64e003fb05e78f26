"""Authentication of callers by API key."""

import attrs

from oriolepaddle.config import ConfigState
from oriolepaddle.config.keys import digest_key, find_key_by_digest
from oriolepaddle.config.model import Key, Organisation, Route
from oriolepaddle.errors import AuthenticationError, ErrorCode

__all__ = ["Authenticator", "Caller"]


@attrs.frozen
class Caller:
    """The caller that a valid key identifies.

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

    def authenticate(self, route: Route, presented_key: str | None) -> Caller | None:
        """Return the caller, or None if the route is open.

        Raises:
            AuthenticationError: The route requires a key, and the request has none
                or an invalid one.
        """
        if route.open:
            return None
        if presented_key is None:
            raise AuthenticationError(
                "this route requires an API key", code=ErrorCode.KEY_MISSING
            )
        return self.find_caller(digest_key(presented_key))

    def find_caller(self, digest: str) -> Caller:
        """Return the caller whose key has a digest.

        Args:
            digest: The key's SHA-256 in hexadecimal.

        Raises:
            AuthenticationError: No such key or organisation is configured.
        """
        key = find_key_by_digest(self._config, digest)
        if key is None:
            raise AuthenticationError("the API key is unknown or withdrawn")
        organisation = self._config.organisation(key.organisation)
        if organisation is None:
            raise AuthenticationError(
                f"organisation {key.organisation} is not configured",
                code=ErrorCode.ORGANISATION_UNKNOWN,
            )
        return Caller(key, organisation)

    def recheck(self, route: Route, key: Key | None) -> None:
        """Check that a request may still be served with its key, or without one.

        Args:
            route: The route as it was when the request was authenticated.
            key: The caller's key, or None if the route was open.

        Raises:
            AuthenticationError: The key was withdrawn or reassigned, or the route is
                no longer open.
        """
        if key is None:
            self._recheck_open(route)
            return
        current = self._config.key_by_digest(key.digest)
        if current is None or current.organisation != key.organisation:
            raise AuthenticationError(
                "the API key was withdrawn", code=ErrorCode.KEY_WITHDRAWN
            )

    def _recheck_open(self, route: Route) -> None:
        current = self._config.route(route.id)
        if current is None or not current.open:
            raise AuthenticationError(
                "the route is no longer open to requests without a key",
                code=ErrorCode.KEY_WITHDRAWN,
            )
