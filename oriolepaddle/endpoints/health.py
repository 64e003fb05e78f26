"""Asking an endpoint whether it is up, and in which life."""

import json
from datetime import timedelta
from io import BytesIO

import attrs
import pycurl

from oriolepaddle.routing import CacheEvents

__all__ = ["CacheReading", "HealthCheckResult", "HealthChecker"]

CONNECT_TIMEOUT = timedelta(milliseconds=300)
ANSWER_TIMEOUT = timedelta(milliseconds=800)


@attrs.frozen
class HealthCheckResult:
    """What a check on a new connection gave.

    Attributes:
        is_up: Whether the endpoint answered.
        is_refused: Whether the connection was refused or reset at once.
        incarnation: The life that it names, or None.
        running: Requests that it says it runs.
        queued: Requests that it says wait.
        cached_tokens: Tokens that it says are in its prefix cache.
    """

    is_up: bool
    is_refused: bool = False
    incarnation: str | None = None
    running: int = 0
    queued: int = 0
    cached_tokens: int = 0


@attrs.frozen
class CacheReading:
    """What an engine publishes of its prefix cache.

    Attributes:
        epoch: The engine's life, or None if it publishes nothing.
        events: The changes, oldest first; early ones may be missing.
    """

    epoch: int | None = None
    events: tuple[CacheEvents, ...] = ()


class HealthChecker:
    """Calls `GET /load` of an endpoint on a new connection each time.

    It remembers the life that each endpoint named last. Thread-safe.
    """

    def __init__(self) -> None:
        self._incarnations: dict[str, str] = {}

    def last_incarnation(self, address: str) -> str | None:
        """Return the life that an endpoint named last, or None."""
        return self._incarnations.get(address)

    def check(self, address: str) -> HealthCheckResult:
        """Return what an endpoint answers; it never raises for the endpoint.

        Args:
            address: `host:port` of the endpoint.
        """
        answer = self._ask(address)
        if answer.incarnation is not None:
            self._incarnations[address] = answer.incarnation
        return answer

    def read_cache_events(
        self, endpoint: str, address: str, after: int
    ) -> CacheReading:
        """Return an engine's changes of its prefix cache; empty if it has none.

        Args:
            endpoint: The endpoint's id.
            address: `host:port` of the endpoint.
            after: The last sequence number that was taken in.
        """
        found = _get(address, f"/cache/events?after={after}")
        if found.status != 200:
            return CacheReading()
        try:
            return _parse_cache_events(endpoint, json.loads(found.body))
        except (ValueError, KeyError, TypeError):
            return CacheReading()

    def _ask(self, address: str) -> HealthCheckResult:
        found = _get(address, "/load")
        if found.status:
            return _parse(found.status, found.body)
        return HealthCheckResult(is_up=False, is_refused=not found.is_silent)


@attrs.frozen
class _Answer:
    status: int = 0
    body: bytes = b""
    is_silent: bool = False


def _get(address: str, path: str) -> _Answer:
    buffer = BytesIO()
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f"http://{address}{path}")
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, _to_ms(CONNECT_TIMEOUT))
    curl.setopt(pycurl.TIMEOUT_MS, _to_ms(ANSWER_TIMEOUT))
    curl.setopt(pycurl.WRITEDATA, buffer)
    try:
        curl.perform()
        return _Answer(curl.getinfo(pycurl.RESPONSE_CODE), buffer.getvalue())
    except pycurl.error as error:
        is_silent = error.args[0] == pycurl.E_OPERATION_TIMEDOUT
        return _Answer(is_silent=is_silent)
    finally:
        curl.close()


def _parse(status: int, body: bytes) -> HealthCheckResult:
    if status != 200:
        return HealthCheckResult(is_up=True)
    try:
        document = json.loads(body)
        return HealthCheckResult(
            is_up=True,
            incarnation=document.get("incarnation"),
            running=int(document.get("running", 0)),
            queued=int(document.get("queued", 0)),
            cached_tokens=int(document.get("cached_tokens", 0)),
        )
    except (ValueError, TypeError, AttributeError):
        return HealthCheckResult(is_up=True)


def _parse_cache_events(endpoint: str, document: dict) -> CacheReading:
    events = tuple(
        CacheEvents(
            endpoint=endpoint,
            epoch=int(document["epoch"]),
            sequence=int(batch["sequence"]),
            stored=tuple(int(block, 16) for block in batch["stored"]),
            evicted=tuple(int(block, 16) for block in batch["evicted"]),
            age_s=float(batch["age_s"]),
        )
        for batch in document["batches"]
    )
    return CacheReading(int(document["epoch"]), events)


def _to_ms(duration: timedelta) -> int:
    return int(duration.total_seconds() * 1000)
