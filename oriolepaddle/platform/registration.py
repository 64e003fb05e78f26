"""Decodes the entries with which endpoints register."""

import json
from typing import Any

from oriolepaddle.catalog import EndpointState, RegisteredEndpoint
from oriolepaddle.errors import PlatformUnavailableError

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
        return _decode(endpoint_id, json.loads(text), read_at_s)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise _make_error(endpoint_id, repr(error)) from error


def _decode(
    endpoint_id: str, fields: dict[str, Any], read_at_s: float
) -> RegisteredEndpoint:
    address = fields["address"]
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise _make_error(endpoint_id, f"the address {address!r} is not IP:port")
    slots = fields["slots"]
    cold_left_ms = fields.get("coldLeftMs", 0)
    started_at_ms = fields.get("born", 0)
    if not (
        _is_number(slots) and _is_number(cold_left_ms) and _is_number(started_at_ms)
    ):
        raise _make_error(endpoint_id, "slots, coldLeftMs or born is not a number")
    texts = (endpoint_id, fields["service"], fields["zone"])
    if not all(isinstance(text, str) and text for text in texts):
        raise _make_error(
            endpoint_id, "its id, service or zone is not a nonempty string"
        )
    return RegisteredEndpoint(
        id=endpoint_id,
        # The start of this incarnation of the process, not of the machine.
        started_at_ms=int(started_at_ms),
        service=fields["service"],
        address=address,
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
