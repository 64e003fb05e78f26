"""HTTP calls to the platform."""

import json
import threading
from datetime import timedelta
from io import BytesIO
from typing import Any
from urllib.parse import urlencode

import pycurl

from oriolepaddle.errors import PlatformUnavailableError

__all__ = ["PlatformClient", "parse_json"]

CONNECT_TIMEOUT = timedelta(seconds=2)
READ_TIMEOUT = timedelta(seconds=10)
MAX_ANSWER_BYTES = 16_000_000


class PlatformClient:
    """Connections to one service of the platform, one for each call at a time.

    Args:
        address: `host:port` of the service.
        read_timeout: The longest time for an answer, beyond a wait asked for.
    """

    def __init__(self, address: str, read_timeout: timedelta = READ_TIMEOUT) -> None:
        self._address = address
        self._read_timeout = read_timeout
        self._lock = threading.Lock()
        self._idle: list[pycurl.Curl] = []

    def get(self, path: str, wait: timedelta = timedelta(0), **query: Any) -> Any:
        """Return the JSON of one call.

        Raises:
            PlatformUnavailableError: No answer, or one that is not understood.
        """
        query["wait_ms"] = int(wait.total_seconds() * 1000)
        status, body = self.fetch(path, query, wait)
        if status != 200:
            raise PlatformUnavailableError(f"{path} answered with status {status}")
        return parse_json(path, body)

    def fetch(
        self, path: str, query: dict[str, Any], wait: timedelta = timedelta(0)
    ) -> tuple[int, bytes]:
        """Return the status and body of one call.

        Args:
            path: The path.
            query: The query's fields.
            wait: How long the service was asked to wait before it answers.

        Raises:
            PlatformUnavailableError: There was no whole answer.
        """
        url = f"http://{self._address}{path}?{urlencode(query)}"
        return self._fetch(url, wait + self._read_timeout)

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


def parse_json(path: str, body: bytes) -> Any:
    """Return the document of an answer.

    Raises:
        PlatformUnavailableError: It is not JSON.
    """
    try:
        return json.loads(body)
    except ValueError as error:
        raise PlatformUnavailableError(f"{path} answered no JSON") from error


def _to_ms(duration: timedelta) -> int:
    return int(duration.total_seconds() * 1000)
