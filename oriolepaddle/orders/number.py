"""Order numbers: the idempotency keys that the system issues."""

import attrs

from oriolepaddle.peers import PeerIdentity

__all__ = ["OrderNumber"]


@attrs.frozen
class OrderNumber:
    """An order number, taken apart.

    Attributes:
        issuer: The instance that issued it, in the life in which it did.
        boot_id: A random number that tells apart two processes which were given
            the same id and incarnation.
        sequence: Microseconds from the issuer's start to the issue, made
            unique; it orders the numbers of one issuer by their age.
    """

    issuer: PeerIdentity
    boot_id: int
    sequence: int
