"""Parses an HTTP request into a `CallerRequest`."""

import json
from typing import Any
from urllib.parse import unquote, urlsplit, urlunsplit

from werkzeug.wrappers import Request

from oriolepaddle.clock import Clock
from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import Route, RouteKind
from oriolepaddle.errors import ErrorCode, MalformedRequestError, RefusedError
from oriolepaddle.gateway.authenticator import Authenticator, Caller
from oriolepaddle.gateway.caller_request import CallerRequest
from oriolepaddle.gateway.forwarding import ForwardedRequest, ForwardingSigner
from oriolepaddle.gateway.keys import find_presented_key, scrub_body, scrub_query
from oriolepaddle.routing import estimate_tokens

__all__ = [
    "COMPLETION_PATHS",
    "ORDERS_PATH",
    "SERVICE_PREFIX",
    "RequestParser",
    "find_service",
]

COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/services/"
ORDERS_PATH = "/v1/orders"
MAX_OUTPUT_TOKENS = 100_000
MAX_PRIORITY = 9
FORWARDED_HEADERS = (
    "Accept",
    "Accept-Language",
    "Content-Type",
    "If-Match",
    "If-None-Match",
    "Range",
    "User-Agent",
)
_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
_OPEN_ROUTE_EXCLUDED = ("connection", "content-length", "host", "transfer-encoding")


class RequestParser:
    """Parses and authenticates requests.

    Args:
        config: The merged configuration.
        authenticator: Checks API keys.
        clock: The clock that deadlines refer to.
        signer: Verifies requests that other instances forwarded.
    """

    def __init__(
        self,
        config: ConfigState,
        authenticator: Authenticator,
        clock: Clock,
        signer: ForwardingSigner,
    ) -> None:
        self._config = config
        self._authenticator = authenticator
        self._clock = clock
        self._signer = signer

    def parse(self, request: Request) -> CallerRequest:
        """Parse and authenticate a request of a caller or another instance.

        Raises:
            MalformedRequestError: The request cannot be parsed.
            AuthenticationError: The route requires a key and the request has no
                valid one.
            RefusedError: No route matches.
        """
        body = request.get_data()
        forwarded = self._signer.check(request, body)
        document = None
        path = _read_target(request)[0]
        if path in COMPLETION_PATHS:
            document = _parse_document(request, body)
            route = self._find_route(document["model"], RouteKind.MODEL)
        elif path == ORDERS_PATH:
            route = self._find_route(_read_order_route(body), RouteKind.SERVICE)
        else:
            route = self._find_route(find_service(path), RouteKind.SERVICE)
        presented_key = find_presented_key(request)
        caller = self._authenticate(route, presented_key, forwarded)
        if not route.open:
            body = scrub_body(body, presented_key)
        return self._build(
            request, body, document, route, caller, presented_key, forwarded
        )

    def _authenticate(
        self,
        route: Route,
        presented_key: str | None,
        forwarded: ForwardedRequest | None,
    ) -> Caller | None:
        if forwarded is None or route.open:
            return self._authenticator.authenticate(route, presented_key)
        return self._authenticator.find_caller(forwarded.key_digest)

    def _find_route(self, name: str, kind: RouteKind) -> Route:
        route = self._config.route(name)
        if route is None or route.kind is not kind:
            raise RefusedError(
                f"no route matches {name!r}", code=ErrorCode.ROUTE_UNKNOWN
            )
        return route

    def _build(
        self,
        request: Request,
        body: bytes,
        document: dict[str, Any] | None,
        route: Route,
        caller: Caller | None,
        presented_key: str | None,
        forwarded: ForwardedRequest | None,
    ) -> CallerRequest:
        prompt = _read_prompt(document) if document is not None else ""
        path, query = _read_target(request)
        if not route.open:
            _check_path(path, presented_key)
            query = scrub_query(query, presented_key)
        is_safe = request.method in _SAFE_METHODS
        deadline_s = route.deadline_s
        if forwarded is not None:
            deadline_s = min(deadline_s, forwarded.deadline_left_s)
        return CallerRequest(
            id=request.environ["oriolepaddle.request_id"],
            method=request.method,
            path=_strip_service_prefix(path, route) + query,
            caller_path=path + query,
            headers=_select_headers(request, route),
            body=body,
            route=route,
            organisation=caller.organisation if caller else None,
            key=caller.key if caller else None,
            is_idempotent=document is not None or route.idempotent or is_safe,
            is_stream=bool(document and document.get("stream")),
            prompt_text=prompt,
            prompt_tokens=estimate_tokens(prompt) if prompt else 0,
            output_tokens=_read_output_tokens(document, route),
            priority=_read_priority(document),
            deadline_s=self._clock.monotonic_s() + deadline_s,
            order_number=request.headers.get("Idempotency-Key"),
            hops=forwarded.hops if forwarded else (),
        )


def _read_order_route(body: bytes) -> str:
    try:
        route = json.loads(body)["route"]
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise MalformedRequestError(
            "the body must be a JSON object with the order's route"
        ) from error
    if not isinstance(route, str):
        raise MalformedRequestError("route must be a string")
    return route


def _parse_document(request: Request, body: bytes) -> dict[str, Any]:
    if request.method != "POST":
        raise MalformedRequestError(f"{request.path} requires the method POST")
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MalformedRequestError(f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise MalformedRequestError("the body must be a JSON object")
    if not isinstance(document.get("model"), str):
        raise MalformedRequestError("model must be a string")
    if not isinstance(document.get("stream", False), bool):
        raise MalformedRequestError("stream must be true or false")
    return document


def _read_prompt(document: dict[str, Any]) -> str:
    if "messages" not in document:
        prompt = document.get("prompt")
        if not isinstance(prompt, str):
            raise MalformedRequestError("prompt must be a string")
        return prompt
    messages = document["messages"]
    if not isinstance(messages, list) or not messages:
        raise MalformedRequestError("messages must be a nonempty list")
    return "\n".join(_read_message(message) for message in messages)


def _read_message(message: Any) -> str:
    if not isinstance(message, dict):
        raise MalformedRequestError("a message must be an object")
    role = message.get("role")
    content = message.get("content")
    if not isinstance(role, str) or not isinstance(content, str):
        raise MalformedRequestError("a message must have the strings role and content")
    return f"{role}: {content}"


def _read_integer(
    document: dict[str, Any], name: str, default: int, maximum: int
) -> int:
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedRequestError(f"{name} must be an integer")
    if not 0 <= value <= maximum:
        raise MalformedRequestError(f"{name} must be from 0 to {maximum}")
    return value


def _read_output_tokens(document: dict[str, Any] | None, route: Route) -> int:
    if document is None:
        return 0
    return _read_integer(
        document, "max_tokens", route.max_output_tokens, MAX_OUTPUT_TOKENS
    )


def _read_priority(document: dict[str, Any] | None) -> int:
    if document is None:
        return 0
    return _read_integer(document, "priority", 0, MAX_PRIORITY)


def find_service(path: str) -> str:
    """Return the route id in the path of a service.

    Raises:
        RefusedError: The path is not that of a service.
    """
    if not path.startswith(SERVICE_PREFIX):
        raise RefusedError(f"no route matches {path}", code=ErrorCode.ROUTE_UNKNOWN)
    return path[len(SERVICE_PREFIX) :].partition("/")[0]


def _strip_service_prefix(path: str, route: Route) -> str:
    if not path.startswith(SERVICE_PREFIX):
        return path
    return "/" + path[len(SERVICE_PREFIX) :].partition("/")[2]


def _read_target(request: Request) -> tuple[str, str]:
    """Return the path and the query with its question mark, both as sent."""
    target = request.environ["REQUEST_URI"]
    if not target.startswith("/"):
        target = urlunsplit(("", "", *urlsplit(target)[2:]))
    path, mark, query = target.partition("?")
    return path, mark + query


def _check_path(path: str, presented_key: str | None) -> None:
    if presented_key and presented_key in unquote(path):
        raise MalformedRequestError("the path contains the API key")


def _select_headers(request: Request, route: Route) -> tuple[tuple[str, str], ...]:
    if route.open:
        return tuple(
            (name, value)
            for name, value in request.headers.items()
            if name.lower() not in _OPEN_ROUTE_EXCLUDED
            and not name.lower().startswith(("x-oriolepaddle-", "x-request-id"))
        )
    headers = request.headers
    return tuple((name, headers[name]) for name in FORWARDED_HEADERS if name in headers)
