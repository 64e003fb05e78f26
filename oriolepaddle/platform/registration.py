"""Decodes the entries with which endpoints register."""

from typing import Any

from oriolepaddle.catalog import EndpointState, RegisteredEndpoint, check_endpoint
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.platform.decoding import DECODE_ERRORS, parse_fields

__all__ = ["decode_endpoint"]

_STATES = {"ready": EndpointState.READY, "draining": EndpointState.LEAVING}


def decode_endpoint(
    endpoint_id: str, text: bytes, read_at_s: float
) -> RegisteredEndpoint:
    """Return the endpoint that an entry describes.

    Args:
        endpoint_id: The last part of the entry's key, which isn't in the entry.
        text: The entry.
        read_at_s: Monotonic time of the reading, to which remaining times refer.

    Raises:
        PlatformUnavailableError: The entry is not a valid endpoint.
    """
    try:
        endpoint = _decode(endpoint_id, parse_fields(text), read_at_s)
        check_endpoint(endpoint, read_at_s)
        return endpoint
    except DECODE_ERRORS as error:
        raise _make_error(endpoint_id, repr(error)) from error


def _decode(
    endpoint_id: str, fields: dict[str, Any], read_at_s: float
) -> RegisteredEndpoint:
    slots = fields["slots"]
    cold_left_ms = fields.get("coldLeftMs", 0)
    started_at_ms = fields.get("born", 0)
    if not (
        _is_number(slots) and _is_number(cold_left_ms) and _is_number(started_at_ms)
    ):
        raise ValueError("slots, coldLeftMs or born is not a number")
    return RegisteredEndpoint(
        id=endpoint_id,
        # The start of this incarnation of the process, not of the machine.
        started_at_ms=int(started_at_ms),
        service=fields["service"],
        address=fields["address"],
        data_centre=fields["zone"],
        slots=max(1, int(slots)),
        state=_STATES[fields["state"]],
        # The time that remained when the entry was written; the reading lags by a
        # heartbeat.
        cold_until_s=read_at_s + cold_left_ms / 1000 if cold_left_ms > 0 else 0.0,
        # The version of the software; model weights have versions of their own.
        weights=str(fields.get("version", "")),
    )


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _make_error(endpoint_id: str, reason: str) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f"the entry of endpoint {endpoint_id!r} is invalid: {reason}"
    )
