"""Clients as the platform lists them."""

import attrs

__all__ = ["ClientRecord"]


@attrs.frozen
class ClientRecord:
    """A client of the client directory.

    Attributes:
        id: Its name.
        organisation: The organisation that it belongs to.
        region: The region that it calls from.
    """

    id: str
    organisation: str
    region: str
