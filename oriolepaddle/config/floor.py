"""The ticket number up to which a published snapshot is complete."""

import attrs

__all__ = ["NO_FLOOR", "Floor"]


@attrs.frozen(order=True)
class Floor:
    """Identifies a complete snapshot. The greater of two floors takes precedence.

    Attributes:
        number: The snapshot includes every ticket up to this number.
        digest: Digest of the snapshot's entries. It breaks the tie between two
            snapshots with the same number in the same way on every instance.
    """

    number: int
    digest: int


NO_FLOOR = Floor(number=0, digest=0)
