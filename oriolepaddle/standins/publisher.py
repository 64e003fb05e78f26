"""Publishes tickets on the platform stand-in, as an operator does."""

import hashlib
import itertools
import json
from typing import Any

from oriolepaddle.config import parse_ticket
from oriolepaddle.standins.platform import PlatformStandin

__all__ = ["TicketPublisher", "make_key", "make_object"]


class TicketPublisher:
    """Publishes tickets with consecutive numbers.

    Args:
        platform: The stand-in that serves the tickets.

    Attributes:
        number: The number of the last ticket; 0 before the first one.
    """

    def __init__(self, platform: PlatformStandin) -> None:
        self._platform = platform
        self._numbers = itertools.count(1)
        self.number = 0

    def publish(self, *objects: dict[str, Any]) -> None:
        """Publish a ticket with the complete new state of one or more objects."""
        self.number = next(self._numbers)
        document = {"number": self.number, "objects": list(objects)}
        self._platform.publish(parse_ticket(json.dumps(document)))

    def delete(self, kind: str, object_id: str) -> None:
        """Publish a ticket that deletes one object."""
        self.publish({"kind": kind, "id": object_id, "value": None})


def make_object(object_kind: str, object_id: str, /, **value: Any) -> dict[str, Any]:
    """Return an object for a ticket."""
    return {"kind": object_kind, "id": object_id, "value": value}


def make_key(object_id: str, organisation: str, key: str) -> dict[str, Any]:
    """Return a key object for a ticket; it has only the digest of `key`."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return make_object("key", object_id, organisation=organisation, digest=digest)
