"""Answered orders as an issuer transfers them to a successor."""

from datetime import timedelta

import attrs

from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.peers import PeerIdentity

__all__ = ["AnsweredOrder", "AnsweredOrders"]


@attrs.frozen
class AnsweredOrder:
    """An order that was answered.

    Attributes:
        sequence: The sequence of its number.
        organisation: The organisation that sent it.
        digest: The digest of its request.
        answer: The answer, or None if it is no longer stored.
    """

    sequence: int
    organisation: str
    digest: bytes
    answer: OrderAnswer | None


@attrs.frozen
class AnsweredOrders:
    """The answered orders of one issuer.

    Attributes:
        issuer: The issuer.
        boot_id: The issuer's `OrderNumber.boot_id`.
        remaining: How long they are to be stored.
        orders: The orders.
    """

    issuer: PeerIdentity
    boot_id: int
    remaining: timedelta
    orders: tuple[AnsweredOrder, ...]
