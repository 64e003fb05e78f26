"""What is handed to a successor of an order."""

import attrs

from oriolepaddle.orders.answer import OrderAnswer

__all__ = ["KeptOrder"]


@attrs.frozen
class KeptOrder:
    """An order that was answered.

    Attributes:
        sequence: The sequence of its number.
        organisation: The organisation that gave it.
        digest: The digest of its request.
        answer: The answer, or None if it is no longer kept.
    """

    sequence: int
    organisation: str
    digest: bytes
    answer: OrderAnswer | None
