"""HTTP client of the platform's services."""

import json
import threading
from datetime import timedelta
from typing import Any
from urllib.parse import urlencode

import attrs
import pycurl

from oriolepaddle.answers import perform_call
from oriolepaddle.buffers import ShortBody
from oriolepaddle.errors import (
    AnswerMalformedError,
    AnswerTruncatedError,
    PlatformUnavailableError,
)

__all__ = ["PlatformClient", "PlatformResponse", "parse_json"]

CONNECT_TIMEOUT = timedelta(seconds=2)
READ_TIMEOUT = timedelta(seconds=10)
MAX_RESPONSE_BYTES = 16_000_000


@attrs.frozen
class PlatformResponse:
    """A complete response.

    Attributes:
        status: The HTTP status.
        body: The body.
        headers: Header fields by lower-case name.
    """

    status: int
    body: bytes
    headers: dict[str, str]


class PlatformClient:
    """An HTTP client of one service, with a connection for each concurrent call.

    Thread-safe.

    Args:
        address: `host:port` of the service.
        read_timeout: The longest time for a response, in addition to the wait that the
            call requests.
    """

    def __init__(self, address: str, read_timeout: timedelta = READ_TIMEOUT) -> None:
        self._address = address
        self._read_timeout = read_timeout
        self._lock = threading.Lock()
        self._idle_handles: list[pycurl.Curl] = []

    def get(self, path: str, wait: timedelta = timedelta(0), **query: Any) -> Any:
        """Return the decoded JSON response to a GET request.

        Raises:
            PlatformUnavailableError: There was no complete response, its status was not
                200, or its body was not JSON.
        """
        query["wait_ms"] = int(wait.total_seconds() * 1000)
        status, body = self.fetch(path, query, wait)
        if status != 200:
            raise PlatformUnavailableError(
                f"the response to {path} has status {status}"
            )
        return parse_json(path, body)

    def fetch(
        self, path: str, query: dict[str, Any], wait: timedelta = timedelta(0)
    ) -> tuple[int, bytes]:
        """Return the status and body of the response to a GET request.

        Args:
            path: The path.
            query: The fields of the query.
            wait: How long the service may wait before it responds.

        Raises:
            PlatformUnavailableError: There was no complete response.
        """
        response = self.call(path, query, wait)
        return response.status, response.body

    def call(
        self, path: str, query: dict[str, Any], wait: timedelta = timedelta(0)
    ) -> PlatformResponse:
        """Return the response to a GET request; see `fetch`.

        Raises:
            PlatformUnavailableError: There was no complete response.
        """
        url = f"http://{self._address}{path}?{urlencode(query)}"
        return self._perform(url, wait + self._read_timeout)

    def _perform(self, url: str, timeout: timedelta) -> PlatformResponse:
        body = ShortBody(MAX_RESPONSE_BYTES)
        curl = self._acquire_handle()
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.MAXFILESIZE, MAX_RESPONSE_BYTES)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, _to_ms(CONNECT_TIMEOUT))
        curl.setopt(pycurl.TIMEOUT_MS, _to_ms(timeout))
        try:
            answer = perform_call(curl, body)
        except pycurl.error as error:
            curl.close()
            raise PlatformUnavailableError(
                f"the platform at {self._address} did not answer: {error.args[1]}"
            ) from error
        except (AnswerMalformedError, AnswerTruncatedError) as error:
            curl.close()
            raise PlatformUnavailableError(
                f"the platform at {self._address} did not answer: {error}"
            ) from error
        with self._lock:
            self._idle_handles.append(curl)
        fields = {name.lower(): value for name, value in answer.fields}
        return PlatformResponse(answer.status, answer.body, fields)

    def _acquire_handle(self) -> pycurl.Curl:
        # A pending watch occupies its connection, so concurrent calls can't share one.
        with self._lock:
            curl = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        curl.reset()
        return curl


def parse_json(path: str, body: bytes) -> Any:
    """Return the decoded JSON document of a response.

    Raises:
        PlatformUnavailableError: The body is not JSON.
    """
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise PlatformUnavailableError(f"the response to {path} is not JSON") from error


def _to_ms(duration: timedelta) -> int:
    return int(duration.total_seconds() * 1000)
