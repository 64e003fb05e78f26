"""Finding the key that a request shows, and taking it out again."""

import json
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qsl, urlencode

from werkzeug.wrappers import Request

from oriolepaddle.errors import AuthenticationError, ErrorCode, MalformedRequestError

__all__ = ["find_presented_key", "scrub_body", "scrub_query"]

KEY_NAMES = frozenset({"api_key", "api-key", "apikey", "key", "access_token"})
_HEADER_NAMES = ("X-Api-Key", "Api-Key")
_BEARER = "bearer "


def find_presented_key(request: Request) -> str | None:
    """Return the key that a request shows, or None.

    It may stand in the `Authorization` (bearer), `X-Api-Key` or `Api-Key`
    header, in a cookie or in a query parameter of a usual name.

    Raises:
        AuthenticationError: Different keys stand in different places.
    """
    shown = set(_find_in_headers(request))
    shown |= {request.cookies[name] for name in KEY_NAMES if name in request.cookies}
    shown |= {request.args[name] for name in KEY_NAMES if name in request.args}
    if len(shown) > 1:
        raise AuthenticationError("the request shows more than one key")
    return shown.pop() if shown else None


def scrub_query(query: str, key: str | None) -> str:
    """Return a query without the parameters that carry a key."""
    pairs = parse_qsl(query, keep_blank_values=True)
    kept = [
        (name, value)
        for name, value in pairs
        if name.lower() not in KEY_NAMES and not (key and key in name + value)
    ]
    return query if kept == pairs else urlencode(kept)


def scrub_body(body: bytes, key: str | None) -> bytes:
    """Return a body without the fields that carry the shown key.

    Raises:
        MalformedRequestError: The key stands in the body in a place that
            cannot be taken out.
    """
    if key is None or key.encode() not in body:
        return body
    try:
        document = json.loads(body)
    except ValueError:
        document = None
    if document is not None:
        body = json.dumps(_drop_fields(document, key)).encode()
    if key.encode() in body:
        raise MalformedRequestError(
            "the body contains the key", code=ErrorCode.MALFORMED_REQUEST
        )
    return body


def _find_in_headers(request: Request) -> Iterable[str]:
    authorization = request.headers.get("Authorization", "")
    if authorization.lower().startswith(_BEARER):
        yield authorization[len(_BEARER) :].strip()
    for name in _HEADER_NAMES:
        if name in request.headers:
            yield request.headers[name].strip()


def _drop_fields(document: Any, key: str) -> Any:
    if isinstance(document, dict):
        return {
            name: _drop_fields(value, key)
            for name, value in document.items()
            if not _carries_key(name, value, key)
        }
    if isinstance(document, list):
        return [_drop_fields(item, key) for item in document]
    return document


def _carries_key(name: str, value: Any, key: str) -> bool:
    if not isinstance(value, str):
        return False
    return value == key or (name.lower() in KEY_NAMES and key in value)
