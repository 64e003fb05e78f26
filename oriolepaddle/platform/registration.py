"""Decoding what an endpoint registers."""

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
        endpoint_id: The last part of the entry's key; the entry lacks it.
        text: The entry.
        read_at_s: Monotonic time of the reading, for times that are left.

    Raises:
        PlatformUnavailableError: The entry is not an endpoint's.
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
        raise _make_error(endpoint_id, f"{address!r} is not IP:port")
    slots = fields["slots"]
    cold_left_ms = fields.get("coldLeftMs", 0)
    born = fields.get("born", 0)
    if not (_is_number(slots) and _is_number(cold_left_ms) and _is_number(born)):
        raise _make_error(endpoint_id, "a number is missing")
    texts = (endpoint_id, fields["service"], fields["zone"])
    if not all(isinstance(text, str) and text for text in texts):
        raise _make_error(endpoint_id, "a name is missing")
    return RegisteredEndpoint(
        id=endpoint_id,
        # The start of this life of the process, not of the machine.
        started_at_ms=int(born),
        service=fields["service"],
        address=address,
        data_centre=fields["zone"],
        slots=max(1, int(slots)),
        state=_STATES[fields["state"]],
        # What is left when it was written; the reading lags by a heartbeat.
        cold_until_s=read_at_s + cold_left_ms / 1000 if cold_left_ms > 0 else 0.0,
        # Of the software; the weights have versions of their own.
        weights=str(fields.get("version", "")),
    )


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _make_error(endpoint_id: str, reason: str) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f"the entry of {endpoint_id!r} is not understood: {reason}"
    )
