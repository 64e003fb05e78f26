"""Parsing of the JSON texts in the store, which others may have written."""

import json
from typing import Any, TypeVar

__all__ = ["DECODE_ERRORS", "parse_fields", "read_flag", "read_list"]

DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What decoding an unexpected text raises."""
MAX_NUMBER = 2.0**53
"""Above it, JSON numbers lose precision; no field of the platform comes near."""
MAX_DIGITS = 20
Number = TypeVar("Number", int, float)


def parse_fields(text: bytes) -> Any:
    """Return the document in a JSON text.

    Raises:
        ValueError: The text is not JSON, or has a number out of range or a string that
            can't be encoded.
        RecursionError: The text is nested too deeply.
    """
    document = json.loads(
        text,
        parse_float=_parse_float,
        parse_int=_parse_int,
        parse_constant=_reject_constant,
    )
    # A lone surrogate can be escaped in JSON but not be encoded again.
    json.dumps(document, ensure_ascii=False).encode()
    return document


def read_list(fields: dict[str, Any], name: str) -> list[Any]:
    """Return a list, empty if the field is absent or null.

    Raises:
        ValueError: The field is of another type.
    """
    value = fields.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise ValueError(f"{name} is not a list")
    return value


def read_flag(fields: dict[str, Any], name: str) -> bool:
    """Return a flag, False if the field is absent or null.

    Raises:
        ValueError: The field is of another type.
    """
    value = fields.get(name)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise ValueError(f"{name} is neither true nor false")
    return value


def _parse_float(text: str) -> float:
    return _check_range(float(text), text)


def _parse_int(text: str) -> int:
    if len(text) > MAX_DIGITS:
        raise ValueError(f"a number of {len(text)} digits is out of range")
    return _check_range(int(text), text)


def _check_range(number: Number, text: str) -> Number:
    if abs(number) > MAX_NUMBER:
        raise ValueError(f"the number {text} is out of range")
    return number


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number")
