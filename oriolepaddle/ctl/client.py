"""HTTP client of the administration API."""

import json
import os
import sys
from datetime import timedelta
from typing import Any

import pycurl

from oriolepaddle.answers import perform_call
from oriolepaddle.buffers import ShortBody
from oriolepaddle.ctl.failure import CallFailedError
from oriolepaddle.errors import (
    AnswerMalformedError,
    AnswerTruncatedError,
    PeerUnavailableError,
)

__all__ = ["OperatorClient"]

CA_FILE_VARIABLE = "ORIOLECTL_CA_FILE"
TIMEOUT = timedelta(seconds=10)


class OperatorClient:
    """Client of one instance's administration API.

    Args:
        address: `host:port` of the instance's operator listener, with the prefix
            `https://` if it uses TLS.
        token: The operator's token.
    """

    def __init__(self, address: str, token: str) -> None:
        self._address = address
        self._token = token

    def call(self, method: str, path: str, body: bytes | None = None) -> Any:
        """Send a request and return the JSON of its answer.

        Raises:
            PeerUnavailableError: The instance is unreachable.
            CallFailedError: The instance answered with an error, or its answer is
                broken.
        """
        status, data = self._send(method, path, body)
        try:
            document = json.loads(data)
        except ValueError as error:
            raise CallFailedError(
                f"the instance answered with status {status} and no JSON"
            ) from error
        if status >= 400 and "error" in document:
            error_document = document["error"]
            raise CallFailedError(
                f"{error_document['code']}: {error_document['message']}"
            )
        return document

    def fetch(self, path: str) -> bytes:
        """Return the body of an answer that is not JSON.

        Raises:
            PeerUnavailableError: The instance is unreachable.
            CallFailedError: The instance answered with an error, or its answer is
                broken.
        """
        status, data = self._send("GET", path, None)
        if status != 200:
            raise CallFailedError(f"the instance answered with status {status}")
        return data

    def _send(self, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
        curl = pycurl.Curl()
        base_url = (
            self._address if "://" in self._address else f"http://{self._address}"
        )
        curl.setopt(pycurl.URL, f"{base_url}{path}")
        if CA_FILE_VARIABLE in os.environ:
            curl.setopt(pycurl.CAINFO, os.environ[CA_FILE_VARIABLE])
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TIMEOUT_MS, int(TIMEOUT.total_seconds() * 1000))
        if body is not None:
            curl.setopt(pycurl.POSTFIELDS, body)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        headers = [f"Authorization: Bearer {self._token}", "Expect:"]
        curl.setopt(pycurl.HTTPHEADER, headers)
        try:
            answer = perform_call(curl, ShortBody(sys.maxsize))
        except pycurl.error as error:
            raise PeerUnavailableError(
                f"{self._address} is unreachable: {error.args[1]}"
            ) from error
        except (AnswerMalformedError, AnswerTruncatedError) as error:
            raise CallFailedError(
                f"the call may have run, but its answer is broken: {error}"
            ) from error
        finally:
            curl.close()
        return answer.status, answer.body
