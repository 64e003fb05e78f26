"""Bounds of what endpoints register, from the store and from other instances."""

import ipaddress
import math

from oriolepaddle.catalog.endpoint import RegisteredEndpoint

__all__ = ["check_endpoint"]

MAX_TEXT_LENGTH = 200
"""The platform's bound for keys in bytes."""
MAX_SLOTS = 100_000
MAX_STARTED_AT_MS = 2**53
MAX_COLD_S = 86_400.0
MAX_PORT = 65_535


def check_endpoint(endpoint: RegisteredEndpoint, now_s: float) -> None:
    """Check that an endpoint's fields are in range.

    Args:
        endpoint: The endpoint.
        now_s: The time to which `cold_until_s` refers.

    Raises:
        ValueError: A field is out of range or has another type.
    """
    texts = (endpoint.id, endpoint.service, endpoint.data_centre, endpoint.weights)
    for text in texts:
        if not isinstance(text, str) or len(text.encode()) > MAX_TEXT_LENGTH:
            raise ValueError(f"{ascii(text)[:MAX_TEXT_LENGTH]} is no short string")
    if not all(texts[:3]):
        raise ValueError("its id, service or data centre is empty")
    _check_address(endpoint.address)
    if not 1 <= endpoint.slots <= MAX_SLOTS:
        raise ValueError("its number of slots is out of range")
    if not 0 <= endpoint.started_at_ms <= MAX_STARTED_AT_MS:
        raise ValueError("its time of start is out of range")
    cold_s = endpoint.cold_until_s - now_s
    if not math.isfinite(cold_s) or cold_s > MAX_COLD_S:
        raise ValueError("the time for which it is cold is out of range")


def _check_address(address: object) -> None:
    host, _, port = address.rpartition(":") if isinstance(address, str) else ("",) * 3
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"the address {ascii(address)} is not IP:port")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
