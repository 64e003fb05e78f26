"""Health checks of endpoints: availability, incarnation and load."""

import json
from datetime import timedelta

import attrs
import pycurl

from oriolepaddle.answers import perform_call
from oriolepaddle.buffers import ShortBody
from oriolepaddle.errors import AnswerMalformedError, AnswerTruncatedError
from oriolepaddle.routing import CacheEvents

__all__ = ["CacheReading", "HealthCheckResult", "HealthChecker"]

CONNECT_TIMEOUT = timedelta(milliseconds=300)
TOTAL_TIMEOUT = timedelta(milliseconds=800)


@attrs.frozen
class HealthCheckResult:
    """Result of a health check on a new connection.

    Attributes:
        is_up: Whether the endpoint answered.
        is_refused: Whether the check failed without a timeout, as when the
            connection is refused or reset.
        incarnation: Incarnation that the endpoint reports, or None.
        running: Number of running requests that the endpoint reports.
        queued: Number of queued requests that the endpoint reports.
        cached_tokens: Number of tokens in the prefix cache that it reports.
    """

    is_up: bool
    is_refused: bool = False
    incarnation: str | None = None
    running: int = 0
    queued: int = 0
    cached_tokens: int = 0


@attrs.frozen
class CacheReading:
    """Changes of its prefix cache that an engine publishes.

    Attributes:
        epoch: Number of the engine's incarnation, or None if it publishes no changes.
        events: Changes, oldest first; the earliest may be missing.
    """

    epoch: int | None = None
    events: tuple[CacheEvents, ...] = ()


class HealthChecker:
    """Queries endpoints with `GET /load` on a new connection each time.

    Stores the incarnation that each endpoint last reported. Thread-safe.
    """

    def __init__(self) -> None:
        self._incarnations: dict[str, str] = {}

    def last_incarnation(self, address: str) -> str | None:
        """Return the incarnation that an endpoint last reported, or None."""
        return self._incarnations.get(address)

    def check(self, address: str) -> HealthCheckResult:
        """Check an endpoint; a failure is part of the result and does not raise.

        Args:
            address: `host:port` of the endpoint.
        """
        result = self._query(address)
        if result.incarnation is not None:
            self._incarnations[address] = result.incarnation
        return result

    def read_cache_events(
        self, endpoint: str, address: str, after: int
    ) -> CacheReading:
        """Return the changes of an engine's prefix cache; empty on any failure.

        Args:
            endpoint: The endpoint's id.
            address: `host:port` of the endpoint.
            after: Sequence number of the last change that was applied.
        """
        response = _get(address, f"/cache/events?after={after}")
        if response.status != 200:
            return CacheReading()
        try:
            return _parse_cache_events(endpoint, json.loads(response.body))
        except (ValueError, KeyError, TypeError):
            return CacheReading()

    def _query(self, address: str) -> HealthCheckResult:
        response = _get(address, "/load")
        if response.status:
            return _parse_load(response.status, response.body)
        return HealthCheckResult(is_up=False, is_refused=response.is_refused)


@attrs.frozen
class _Response:
    status: int = 0
    body: bytes = b""
    is_refused: bool = False


def _get(address: str, path: str) -> _Response:
    body = ShortBody()
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f"http://{address}{path}")
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, _to_ms(CONNECT_TIMEOUT))
    curl.setopt(pycurl.TIMEOUT_MS, _to_ms(TOTAL_TIMEOUT))
    try:
        answer = perform_call(curl, body)
        return _Response(answer.status, answer.body)
    except (AnswerMalformedError, AnswerTruncatedError):
        return _Response()
    except pycurl.error as error:
        has_timed_out = error.args[0] == pycurl.E_OPERATION_TIMEDOUT
        return _Response(is_refused=not has_timed_out and not body.is_too_long)
    finally:
        curl.close()


def _parse_load(status: int, body: bytes) -> HealthCheckResult:
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
