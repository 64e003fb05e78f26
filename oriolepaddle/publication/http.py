"""The platform's services over HTTP; `docs/publication.md` has the formats."""

import json
import threading
from datetime import timedelta
from io import BytesIO
from typing import Any
from urllib.parse import urlencode

import cattrs
import pycurl
from cattrs.errors import BaseValidationError

from oriolepaddle.clock import Clock
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.publication.directory import ClientRecord
from oriolepaddle.publication.instance import Instance, InstanceList
from oriolepaddle.publication.value import ServiceReading, ServiceValue

__all__ = ["HttpClientDirectory", "HttpConfigurationService", "HttpInstanceListService"]

CONNECT_TIMEOUT = timedelta(seconds=2)
READ_TIMEOUT = timedelta(seconds=10)
MAX_ANSWER_BYTES = 16_000_000


class _PlatformClient:
    """Connections to one service of the platform, one for each call at a time."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._lock = threading.Lock()
        self._idle: list[pycurl.Curl] = []

    def get(self, path: str, wait: timedelta = timedelta(0), **query: Any) -> Any:
        """Return the JSON of one call.

        Raises:
            PlatformUnavailableError: No answer, or one that is not understood.
        """
        query["wait_ms"] = int(wait.total_seconds() * 1000)
        url = f"http://{self._address}{path}?{urlencode(query)}"
        status, body = self._fetch(url, wait + READ_TIMEOUT)
        if status != 200:
            raise PlatformUnavailableError(f"{path} answered with status {status}")
        try:
            return json.loads(body)
        except ValueError as error:
            raise PlatformUnavailableError(f"{path} answered no JSON") from error

    def _fetch(self, url: str, timeout: timedelta) -> tuple[int, bytes]:
        buffer = BytesIO()
        curl = self._take()
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.MAXFILESIZE, MAX_ANSWER_BYTES)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, _to_ms(CONNECT_TIMEOUT))
        curl.setopt(pycurl.TIMEOUT_MS, _to_ms(timeout))
        curl.setopt(pycurl.WRITEDATA, buffer)
        try:
            curl.perform()
        except pycurl.error as error:
            curl.close()
            raise PlatformUnavailableError(
                f"the platform at {self._address} did not answer: {error.args[1]}"
            ) from error
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        with self._lock:
            self._idle.append(curl)
        return status, buffer.getvalue()

    def _take(self) -> pycurl.Curl:
        # A waiting watch holds its connection, so calls must not share one.
        with self._lock:
            curl = self._idle.pop() if self._idle else pycurl.Curl()
        curl.reset()
        return curl


class HttpConfigurationService:
    """The configuration service; a `ConfigurationService`.

    Args:
        address: `host:port` of the service.
    """

    def __init__(self, address: str) -> None:
        self._client = _PlatformClient(address)

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
    """The instance list; an `InstanceListService`.

    Args:
        address: `host:port` of the service.
        clock: Stamps each reading.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        self._client = _PlatformClient(address)
        self._clock = clock

    def watch(self, after_revision: int, timeout: timedelta) -> InstanceList:
        """Wait until the list has changed, at most `timeout`, and return it.

        The stamp is from before the call, so a waiting call makes the reading
        look older than it is, never younger.
        """
        asked_at_s = self._clock.monotonic_s()
        document = self._client.get("/v1/instances", timeout, after=after_revision)
        instances = tuple(
            _structure(Instance, item) for item in document.get("instances", ())
        )
        revision = _structure(int, document.get("revision"))
        return InstanceList(instances, revision, asked_at_s)


class HttpClientDirectory:
    """The client directory; a `ClientDirectory`.

    Args:
        address: `host:port` of the service.
    """

    def __init__(self, address: str) -> None:
        self._client = _PlatformClient(address)

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
            f"the platform's answer is not understood: {error}"
        ) from error


def _to_ms(duration: timedelta) -> int:
    return int(duration.total_seconds() * 1000)


_converter = cattrs.Converter()
_converter.register_structure_hook(
    ServiceValue,
    lambda document, _: ServiceValue(
        key=str(document["key"]),
        text=str(document["text"]),
        revision=int(document["revision"]),
    ),
)
