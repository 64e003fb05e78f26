"""Authentication and parsing of operators' calls."""

import hmac
import json
from typing import Any

from werkzeug.wrappers import Request

from oriolepaddle.errors import MalformedRequestError, PermissionDeniedError

__all__ = ["check_operator", "read_object", "read_text"]


def check_operator(request: Request, token: str) -> None:
    """Check that a call has the operator's token in `Authorization: Bearer`.

    Raises:
        PermissionDeniedError: The token is missing or wrong.
    """
    authorization = request.headers.get("Authorization", "")
    if not hmac.compare_digest(authorization.encode(), f"Bearer {token}".encode()):
        raise PermissionDeniedError("the operator's token is missing or wrong")


def read_object(request: Request) -> dict[str, Any]:
    """Return the JSON object in the body of a call.

    Raises:
        MalformedRequestError: The body is not a JSON object.
    """
    try:
        document = json.loads(request.get_data())
    except ValueError as error:
        raise MalformedRequestError(f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise MalformedRequestError("the body must be a JSON object")
    return document


def read_text(document: dict[str, Any], name: str) -> str:
    """Return a required string of a JSON object.

    Raises:
        MalformedRequestError: The object has no string of that name.
    """
    value = document.get(name)
    if not isinstance(value, str):
        raise MalformedRequestError(f"{name} must be a string")
    return value
