"""What operators' calls have in common."""

import hmac
import json
from typing import Any

from werkzeug.wrappers import Request

from oriolepaddle.errors import MalformedRequestError, PermissionDeniedError

__all__ = ["check_operator", "read_object", "read_text"]


def check_operator(request: Request, token: str) -> None:
    """Check that a call shows the operator's token as `Authorization: Bearer`.

    Raises:
        PermissionDeniedError: It does not.
    """
    shown = request.headers.get("Authorization", "")
    if not hmac.compare_digest(shown.encode(), f"Bearer {token}".encode()):
        raise PermissionDeniedError("the operator's token is missing or wrong")


def read_object(request: Request) -> dict[str, Any]:
    """Return the JSON object that a call carries.

    Raises:
        MalformedRequestError: It carries none.
    """
    try:
        document = json.loads(request.get_data())
    except ValueError as error:
        raise MalformedRequestError(f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise MalformedRequestError("the body must be a JSON object")
    return document


def read_text(document: dict[str, Any], name: str) -> str:
    """Return a text that an object must have.

    Raises:
        MalformedRequestError: It has none of that name.
    """
    value = document.get(name)
    if not isinstance(value, str):
        raise MalformedRequestError(f"{name} must be a string")
    return value
