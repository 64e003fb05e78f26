"""The platform's HTTP header protocol; an `EdgeProtocol`."""

import sys

from werkzeug.wrappers import Request

from oriolepaddle.catalog import RegisteredEndpoint
from oriolepaddle.edge import AnswerKind, EdgeRequest, EndpointAnswer
from oriolepaddle.errors import MalformedRequestError
from oriolepaddle.placement import PromptPart
from oriolepaddle.platform import names
from oriolepaddle.platform.load import LoadReader
from oriolepaddle.platform.signals import read_signals

__all__ = ["PlatformProtocol"]

KEY_SCHEME = "token "
HOPS = "X-Request-Hops"
AGE_MS = "X-Request-Age-Ms"
RUNS = "X-Request-Runs"
EVENT_STREAM = "text/event-stream"
MISDIRECTED_STATUS = 421
MILLISECONDS_PER_S = 1000
MAX_TOKENS = 2**31 - 1
"""The largest number of tokens that fits into the messages between instances, far
above the capacity of any engine."""
MAX_DIGITS = 10
"""The number of digits of `MAX_TOKENS`."""
_REWRITTEN = frozenset(
    name.lower()
    for name in (
        names.DEADLINE_MS,
        names.LAST_EVENT_ID,
        "authorization",
        HOPS,
        AGE_MS,
        RUNS,
        "X-Request-Id",
    )
)
_DROPPED_FROM_REQUESTS = names.CONNECTION_FIELDS | names.RESERVED | _REWRITTEN
# Only instances state an outcome; an endpoint's statement would be taken for theirs.
_DROPPED_FROM_RESPONSES = names.CONNECTION_FIELDS | {
    names.LOAD.lower(),
    names.OUTCOME.lower(),
}


class PlatformProtocol:
    """Encodes and decodes the platform's HTTP headers.

    Args:
        instance: This instance's id, added to requests that it forwards.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._loads = LoadReader()

    def read_request(self, request: Request, arrived_s: float) -> EdgeRequest:
        """Return a caller's request; see `EdgeProtocol.read_request`."""
        headers = request.headers
        target = request.environ["RAW_URI"]
        counts = _read_numbers(headers.get(names.TOKEN_COUNT), MAX_TOKENS)
        deadline_ms = _read_numbers(headers.get(names.DEADLINE_MS))
        age_ms = _read_numbers(headers.get(AGE_MS))
        hops = headers.get(HOPS, "")
        if hops and age_ms:
            arrived_s -= age_ms[0] / MILLISECONDS_PER_S
        return EdgeRequest(
            id=headers.get(names.REQUEST_ID, ""),
            method=request.method,
            host=headers.get("Host", "").lower(),
            path=target.partition("?")[0],
            target=target,
            headers=tuple(
                (name, value)
                for name, value in headers.items()
                if name.lower() not in _DROPPED_FROM_REQUESTS
            ),
            body=request.get_data(),
            key=_read_key(headers.get("Authorization")),
            arrived_s=arrived_s,
            caller_timeout_s=deadline_ms[0] / MILLISECONDS_PER_S
            if deadline_ms
            else None,
            parts=_read_parts(headers.get(names.PROMPT_PREFIX)),
            input_tokens=int(counts[0]) if counts else 0,
            output_tokens=int(counts[1]) if len(counts) > 1 else 0,
            has_token_counts=bool(counts),
            last_event_id=headers.get(names.LAST_EVENT_ID),
            hops=tuple(hops.split(",")) if hops else (),
            earlier_runs=int(sum(_read_numbers(headers.get(RUNS)))),
        )

    def write_endpoint_headers(
        self,
        request: EdgeRequest,
        endpoint: RegisteredEndpoint,
        organisation: str | None,
        remaining_s: float,
        last_event_id: str | None,
        urgency: int | None = None,
        prefix_source: RegisteredEndpoint | None = None,
    ) -> tuple[tuple[str, str], ...]:
        """Return the fields for an endpoint; see `EdgeProtocol`."""
        headers = [
            *request.headers,
            (names.DEADLINE_MS, _write_ms(remaining_s)),
            # The id of an incarnation in the list of endpoints, not of a machine.
            (names.EXPECT_INSTANCE, endpoint.id),
        ]
        if organisation is not None:
            headers.append((names.TENANT, organisation))
        if urgency is not None:
            headers.append((names.URGENCY, str(urgency)))
        if last_event_id is not None:
            headers.append((names.LAST_EVENT_ID, last_event_id))
        if prefix_source is not None:
            headers.append((names.PREFIX_SOURCE, prefix_source.address))
        return tuple(headers)

    def write_peer_headers(
        self, request: EdgeRequest, age_s: float, last_event_id: str | None, runs: int
    ) -> tuple[tuple[str, str], ...]:
        """Return the fields for another instance; see `EdgeProtocol`."""
        caller_timeout_s = request.caller_timeout_s
        headers = [
            *request.headers,
            (HOPS, ",".join((*request.hops, self._instance))),
            (AGE_MS, _write_ms(age_s)),
            (RUNS, str(runs)),
        ]
        if caller_timeout_s is not None:
            headers.append((names.DEADLINE_MS, _write_ms(caller_timeout_s)))
        if request.key is not None:
            headers.append(("Authorization", f"Token {request.key}"))
        if last_event_id is not None:
            headers.append((names.LAST_EVENT_ID, last_event_id))
        return tuple(headers)

    def read_answer(
        self, request_id: str, status: int, headers: tuple[tuple[str, str], ...]
    ) -> EndpointAnswer:
        """Return the decoded headers; see `EdgeProtocol.read_answer`."""
        fields = {name.lower(): value for name, value in headers}
        return EndpointAnswer(
            kind=_find_kind(request_id, status, fields),
            status=status,
            headers=tuple(
                (name, value)
                for name, value in headers
                if name.lower() not in _DROPPED_FROM_RESPONSES
            ),
            is_stream=fields.get("content-type", "").startswith(EVENT_STREAM),
            load=self._loads.read(headers) if names.LOAD.lower() in fields else None,
            signals=read_signals(status, headers),
            length=_read_length(fields.get("content-length")),
        )


def _find_kind(request_id: str, status: int, fields: dict[str, str]) -> AnswerKind:
    answered_id = fields.get(names.REQUEST_ID.lower())
    # An endpoint may refuse a request before it has read the id. Another id shows a
    # late copy of an earlier response, which says nothing about this request.
    if request_id and answered_id not in (None, request_id):
        return AnswerKind.FOREIGN
    # Such a response also states that the request was not run, so it goes first.
    if status == MISDIRECTED_STATUS:
        return AnswerKind.OTHER_ENDPOINT
    if names.NOT_RUN.lower() in fields:
        return AnswerKind.NOT_RUN
    if request_id and answered_id is None:
        return AnswerKind.FOREIGN
    is_success = 200 <= status < 300
    if is_success and names.SEAL.lower() not in fields:
        return AnswerKind.FOREIGN
    return AnswerKind.RAN


def _read_key(value: str | None) -> str | None:
    if value is None or not value.lower().startswith(KEY_SCHEME):
        return None
    return value[len(KEY_SCHEME) :].strip() or None


def _read_numbers(
    value: str | None, maximum: float = sys.float_info.max
) -> list[float]:
    if value is None:
        return []
    try:
        numbers = [float(item) for item in value.split(",")]
    except ValueError as error:
        raise MalformedRequestError(f"{value!r} is not a list of numbers") from error
    if any(not 0 <= number <= maximum for number in numbers):
        raise MalformedRequestError(f"{value!r} is out of range")
    return numbers


def _read_parts(value: str | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.split(","):
        name, _, tokens = item.strip().partition(":")
        is_number = tokens.isdecimal() and len(tokens) <= MAX_DIGITS
        if not is_number or int(tokens) > MAX_TOKENS:
            raise MalformedRequestError(
                f"{item!r} is not a part of a prompt in the form id:tokens"
            )
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def _read_length(value: str | None) -> int | None:
    # libcurl has read it already, and rejects a response whose length is malformed.
    if value is None or not value.isascii() or not value.isdigit():
        return None
    return int(value)


def _write_ms(duration_s: float) -> str:
    return str(max(1, int(duration_s * MILLISECONDS_PER_S)))
