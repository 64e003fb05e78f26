"""Extracts the API key from a request and removes it from what is forwarded."""

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
    """Return the API key that a request contains, or None.

    The key may be in the `Authorization` (bearer), `X-Api-Key` or `Api-Key` header,
    or in a cookie or query parameter with one of `KEY_NAMES`. An empty one is no key.

    Raises:
        AuthenticationError: The request contains different keys.
    """
    keys = set(_find_in_headers(request))
    keys |= {request.cookies[name] for name in KEY_NAMES if name in request.cookies}
    keys |= {request.args[name] for name in KEY_NAMES if name in request.args}
    keys.discard("")
    if len(keys) > 1:
        raise AuthenticationError("the request contains more than one API key")
    return keys.pop() if keys else None


def scrub_query(query: str, key: str | None) -> str:
    """Return a query string without the parameters that contain a key.

    Args:
        query: The query with its question mark, or nothing. It is returned as it is
            if it has no such parameter.
        key: The key that the caller presented, or None.
    """
    pairs = parse_qsl(query.removeprefix("?"), keep_blank_values=True)
    remaining = [
        (name, value)
        for name, value in pairs
        if name.lower() not in KEY_NAMES and not (key and key in name + value)
    ]
    if remaining == pairs:
        return query
    return f"?{urlencode(remaining)}" if remaining else ""


def scrub_body(body: bytes, key: str | None) -> bytes:
    """Return a body without the JSON fields that contain the caller's key.

    Raises:
        MalformedRequestError: The body contains the key in a place from which it
            cannot be removed.
    """
    if key is None or key.encode() not in body:
        return body
    try:
        document = json.loads(body)
    except ValueError:
        document = None
    if document is not None:
        body = json.dumps(_remove_key_fields(document, key)).encode()
    if key.encode() in body:
        raise MalformedRequestError(
            "the body contains the API key", code=ErrorCode.MALFORMED_REQUEST
        )
    return body


def _find_in_headers(request: Request) -> Iterable[str]:
    authorization = request.headers.get("Authorization", "")
    if authorization.lower().startswith(_BEARER):
        yield authorization[len(_BEARER) :].strip()
    for name in _HEADER_NAMES:
        if name in request.headers:
            yield request.headers[name].strip()


def _remove_key_fields(document: Any, key: str) -> Any:
    if isinstance(document, dict):
        return {
            name: _remove_key_fields(value, key)
            for name, value in document.items()
            if not _contains_key(name, value, key)
        }
    if isinstance(document, list):
        return [_remove_key_fields(item, key) for item in document]
    return document


def _contains_key(name: str, value: Any, key: str) -> bool:
    if not isinstance(value, str):
        return False
    return value == key or (name.lower() in KEY_NAMES and key in value)
