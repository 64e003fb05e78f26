"""The number up to which a published snapshot is complete."""

import attrs

__all__ = ["NO_FLOOR", "Floor"]


@attrs.frozen(order=True)
class Floor:
    """Names a complete snapshot; the greater floor replaces the smaller one.

    Attributes:
        number: Every ticket up to this number is contained in the snapshot.
        digest: The digest of the snapshot's entries, which settles two
            snapshots with one number alike on every instance.
    """

    number: int
    digest: int


NO_FLOOR = Floor(number=0, digest=0)
