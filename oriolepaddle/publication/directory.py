"""Records of the platform's client directory."""

import attrs

__all__ = ["ClientRecord"]


@attrs.frozen
class ClientRecord:
    """A client in the client directory.

    Attributes:
        id: The client's name.
        organisation: Id of the organisation that it belongs to.
        region: The region that it sends requests from.
    """

    id: str
    organisation: str
    region: str
