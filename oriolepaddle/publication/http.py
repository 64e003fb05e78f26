"""HTTP clients of the platform's services.

`docs/publication.md` describes the formats.
"""

from datetime import timedelta
from typing import Any

import cattrs
from cattrs.errors import BaseValidationError

from oriolepaddle.clock import Clock
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.publication.client import PlatformClient
from oriolepaddle.publication.directory import ClientRecord
from oriolepaddle.publication.instance import Instance, InstanceList
from oriolepaddle.publication.value import ServiceReading, ServiceValue

__all__ = ["HttpClientDirectory", "HttpConfigurationService", "HttpInstanceListService"]


class HttpConfigurationService:
    """HTTP client of the configuration service; a `ConfigurationService`.

    Args:
        address: `host:port` of the service.
    """

    def __init__(self, address: str) -> None:
        self._client = PlatformClient(address)

    def read(self, prefix: str, after_revision: int = 0) -> ServiceReading:
        """Return the values below `prefix` written after a revision."""
        return self.watch(prefix, after_revision, timedelta(0))

    def watch(
        self, prefix: str, after_revision: int, timeout: timedelta
    ) -> ServiceReading:
        """Wait for values written after a revision, at most `timeout`."""
        document = self._client.get(
            "/v1/values", timeout, prefix=prefix, after=after_revision
        )
        return _structure(
            ServiceReading,
            {
                "values": document.get("values"),
                "revision": document.get("revision"),
                "is_complete": document.get("complete", True),
            },
        )


class HttpInstanceListService:
    """HTTP client of the instance list; an `InstanceListService`.

    Args:
        address: `host:port` of the service.
        clock: Source of the timestamp of each reading.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        self._client = PlatformClient(address)
        self._clock = clock

    def watch(self, after_revision: int, timeout: timedelta) -> InstanceList:
        """Wait until the list has changed, at most `timeout`, and return it.

        The timestamp is taken before the call, so a reading that waited for a change
        appears older than it is, never newer.
        """
        requested_at_s = self._clock.monotonic_s()
        document = self._client.get("/v1/instances", timeout, after=after_revision)
        instances = tuple(
            _structure(Instance, item) for item in document.get("instances", ())
        )
        revision = _structure(int, document.get("revision"))
        return InstanceList(instances, revision, requested_at_s)


class HttpClientDirectory:
    """HTTP client of the client directory; a `ClientDirectory`.

    Args:
        address: `host:port` of the service.
    """

    def __init__(self, address: str) -> None:
        self._client = PlatformClient(address)

    def read(self) -> tuple[ClientRecord, ...]:
        """Return all clients."""
        document = self._client.get("/v1/clients")
        return tuple(
            _structure(ClientRecord, item) for item in document.get("clients", ())
        )


def _structure(kind: type, document: Any) -> Any:
    try:
        return _converter.structure(document, kind)
    except (BaseValidationError, ValueError, TypeError, KeyError) as error:
        raise PlatformUnavailableError(
            f"the platform's response is malformed: {error}"
        ) from error


_converter = cattrs.Converter()
_converter.register_structure_hook(
    ServiceValue,
    lambda document, _: ServiceValue(
        key=str(document["key"]),
        text=str(document["text"]),
        revision=int(document["revision"]),
    ),
)
