"""The identity of an instance on a peer link."""

import attrs

__all__ = ["PeerIdentity"]


@attrs.frozen
class PeerIdentity:
    """An instance in one incarnation.

    Attributes:
        instance: The instance's id, from its settings.
        incarnation: A number that grows with each start of the instance.
        data_centre: The data centre that it runs in.
    """

    instance: str
    incarnation: int
    data_centre: str
