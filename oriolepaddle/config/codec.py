"""Conversion of tickets and objects from and to JSON, with validation.

Validation depends only on the ticket itself, never on the state that it is merged
into: instances have different states while a ticket spreads, and all of them must
accept or reject it alike. A reference to an object that does not exist is therefore
valid here; a request that needs the object is refused.
"""

import ipaddress
import json
import math
import re
from collections.abc import Callable
from typing import Any

import attrs
import cattrs
from cattrs.errors import BaseValidationError
from cattrs.v import transform_error

from oriolepaddle.config.entry import Entry
from oriolepaddle.config.model import (
    ConfigObject,
    DataCentre,
    Endpoint,
    Key,
    ObjectKind,
    Organisation,
    Placement,
    Route,
    RouteKind,
)
from oriolepaddle.config.ticket import Ticket
from oriolepaddle.errors import TicketError

__all__ = [
    "MAX_OBJECT_BYTES",
    "MAX_TICKET_BYTES",
    "parse_entry",
    "parse_ticket",
    "write_object",
    "write_ticket",
]

MAX_TICKET_BYTES = 1_000_000
MAX_OBJECT_BYTES = 200_000
MAX_TICKET_NUMBER = 2**53 - 1
MAX_ID_LENGTH = 200

_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]*")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_ROLES = ("mixed", "prefill", "decode")

_TYPES: dict[ObjectKind, type] = {
    ObjectKind.ORGANISATION: Organisation,
    ObjectKind.KEY: Key,
    ObjectKind.ROUTE: Route,
    ObjectKind.ENDPOINT: Endpoint,
    ObjectKind.DATA_CENTRE: DataCentre,
    ObjectKind.PLACEMENT: Placement,
}

_converter = cattrs.Converter(forbid_extra_keys=True)


def _structure_number(value: Any, kind: type) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TicketError(f"expected a number, got {type(value).__name__}")
    return float(value)


def _structure_integer(value: Any, kind: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TicketError(f"expected an integer, got {type(value).__name__}")
    return value


def _structure_text(value: Any, kind: type) -> str:
    if not isinstance(value, str):
        raise TicketError(f"expected a string, got {type(value).__name__}")
    return value


def _structure_flag(value: Any, kind: type) -> bool:
    if not isinstance(value, bool):
        raise TicketError(f"expected true or false, got {type(value).__name__}")
    return value


_converter.register_structure_hook(float, _structure_number)
_converter.register_structure_hook(int, _structure_integer)
_converter.register_structure_hook(str, _structure_text)
_converter.register_structure_hook(bool, _structure_flag)
# Without its own hook, the hook for str would apply to this subclass and return plain
# strings.
_converter.register_structure_hook(RouteKind, lambda value, kind: RouteKind(value))


def parse_ticket(text: str | bytes) -> Ticket:
    """Parse and validate a ticket.

    Args:
        text: The ticket in JSON, `{"number": N, "objects": [{"kind": ...,
            "id": ..., "value": {...} or null}, ...]}`.

    Raises:
        TicketError: The ticket violates the schema and is rejected as a whole.
    """
    if len(text) > MAX_TICKET_BYTES:
        raise TicketError(f"ticket is larger than {MAX_TICKET_BYTES} bytes")
    try:
        document = json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise TicketError(f"ticket is not JSON: {error}") from error
    if not isinstance(document, dict) or set(document) != {"number", "objects"}:
        raise TicketError("a ticket must have exactly the members number and objects")
    number = _check_ticket_number(document["number"])
    objects = document["objects"]
    if not isinstance(objects, list) or not objects:
        raise TicketError("objects must be a list with at least one object")
    entries = tuple(parse_entry(number, item) for item in objects)
    _check_unique(entries)
    return Ticket(number=number, entries=entries)


def parse_entry(number: int, document: Any) -> Entry:
    """Parse and validate one object of a ticket.

    Args:
        number: The ticket's number.
        document: `{"kind": ..., "id": ..., "value": {...} or null}`.

    Raises:
        TicketError: The object violates the schema.
    """
    if not isinstance(document, dict) or set(document) != {"kind", "id", "value"}:
        raise TicketError("an object must have exactly the members kind, id and value")
    kind = _parse_kind(document["kind"])
    object_id = _check_id(document["id"])
    if document["value"] is None:
        return Entry(kind=kind, id=object_id, number=number, value=None)
    value = _parse_value(kind, object_id, document["value"])
    written = write_object(value)
    if len(written) > MAX_OBJECT_BYTES:
        raise TicketError(f"an object is larger than {MAX_OBJECT_BYTES} bytes")
    return Entry(kind, object_id, number, value, written)


def write_object(value: ConfigObject) -> str:
    """Write an object as canonical JSON, without its id."""
    document = _converter.unstructure(value)
    document.pop("id")
    return json.dumps(document, sort_keys=True, separators=(",", ":"))


def write_ticket(ticket: Ticket) -> str:
    """Write a ticket as JSON."""
    objects = [
        {
            "kind": entry.kind.value,
            "id": entry.id,
            "value": json.loads(entry.document) if entry.document else None,
        }
        for entry in ticket.entries
    ]
    return json.dumps({"number": ticket.number, "objects": objects})


def _reject_constant(name: str) -> float:
    raise TicketError(f"{name} is not allowed as a number")


def _check_ticket_number(number: Any) -> int:
    if isinstance(number, bool) or not isinstance(number, int):
        raise TicketError("number must be an integer")
    if not 1 <= number <= MAX_TICKET_NUMBER:
        raise TicketError(f"number must be from 1 to {MAX_TICKET_NUMBER}")
    return number


def _parse_kind(kind: Any) -> ObjectKind:
    try:
        return ObjectKind(kind)
    except ValueError as error:
        raise TicketError(f"unknown kind of object: {kind!r}") from error


def _check_id(object_id: Any) -> str:
    is_valid = (
        isinstance(object_id, str)
        and len(object_id) <= MAX_ID_LENGTH
        and _ID.fullmatch(object_id) is not None
    )
    if not is_valid:
        raise TicketError(f"invalid id: {object_id!r}")
    return object_id


def _parse_value(kind: ObjectKind, object_id: str, document: Any) -> ConfigObject:
    label = f"{kind.value} {object_id}"
    if not isinstance(document, dict):
        raise TicketError(f"{label}: value must be an object or null")
    if "id" in document:
        raise TicketError(
            f"{label}: id must be a member of the object, not of its value"
        )
    try:
        value = _converter.structure(document | {"id": object_id}, _TYPES[kind])
    except BaseValidationError as error:
        reasons = "; ".join(transform_error(error))
        raise TicketError(f"{label}: {reasons}") from error
    _check_numbers(label, value)
    _CHECKS[kind](label, value)
    return value


def _check_numbers(label: str, value: ConfigObject) -> None:
    for field in attrs.fields(type(value)):
        number = getattr(value, field.name)
        if isinstance(number, bool) or not isinstance(number, (int, float)):
            continue
        if not math.isfinite(number) or number < 0:
            raise TicketError(f"{label}: {field.name} must be finite and not negative")


def _check_unique(entries: tuple[Entry, ...]) -> None:
    names = {(entry.kind, entry.id) for entry in entries}
    if len(names) != len(entries):
        raise TicketError("a ticket must contain each object only once")


def _require_positive(label: str, value: ConfigObject, *names: str) -> None:
    for name in names:
        if getattr(value, name) <= 0:
            raise TicketError(f"{label}: {name} must be greater than 0")


def _check_organisation(label: str, value: Organisation) -> None:
    _require_positive(label, value, "weight")


def _check_key(label: str, value: Key) -> None:
    if _DIGEST.fullmatch(value.digest) is None:
        raise TicketError(f"{label}: digest must be 64 hexadecimal digits")


def _check_route(label: str, value: Route) -> None:
    _require_positive(label, value, "deadline_s", "first_byte_s", "max_output_tokens")


def _check_endpoint(label: str, value: Endpoint) -> None:
    _require_positive(
        label, value, "slots", "prefill_tokens_per_s", "decode_tokens_per_s"
    )
    host, _, port = value.address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        is_port_valid = 1 <= int(port) <= 65535
    except ValueError as error:
        raise TicketError(f"{label}: address must be IP:port") from error
    if not is_port_valid:
        raise TicketError(f"{label}: port must be from 1 to 65535")


def _check_data_centre(label: str, value: DataCentre) -> None:
    _check_id(value.region)


def _check_placement(label: str, value: Placement) -> None:
    if value.role not in _ROLES:
        raise TicketError(f"{label}: role must be one of {', '.join(_ROLES)}")


_CHECKS: dict[ObjectKind, Callable[[str, Any], None]] = {
    ObjectKind.ORGANISATION: _check_organisation,
    ObjectKind.KEY: _check_key,
    ObjectKind.ROUTE: _check_route,
    ObjectKind.ENDPOINT: _check_endpoint,
    ObjectKind.DATA_CENTRE: _check_data_centre,
    ObjectKind.PLACEMENT: _check_placement,
}
