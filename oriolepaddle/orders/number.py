"""Order numbers: idempotency keys issued by the gateway."""

import attrs

from oriolepaddle.peers import PeerIdentity

__all__ = ["OrderNumber"]


@attrs.frozen
class OrderNumber:
    """A decoded order number.

    Attributes:
        issuer: The instance that issued it, with its incarnation at that time.
        boot_id: A random number that distinguishes two processes with the same
            instance id and incarnation.
        sequence: Microseconds between the issuer's start and the issue,
            increased where needed to be unique. It orders the numbers of one
            issuer by age.
    """

    issuer: PeerIdentity
    boot_id: int
    sequence: int
