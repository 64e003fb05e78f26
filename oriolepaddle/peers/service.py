"""A thrift service that shares a peer link with others."""

from types import ModuleType

import attrs

__all__ = ["PeerService"]


@attrs.frozen
class PeerService:
    """A thrift service and the name under which links multiplex it.

    Attributes:
        name: The name on the wire.
        module: The generated module with its `Client` and `Processor`.
    """

    name: str
    module: ModuleType
