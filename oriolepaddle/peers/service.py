"""The thrift services that share one peer link."""

from types import ModuleType

import attrs

__all__ = ["PeerService"]


@attrs.frozen
class PeerService:
    """A thrift service by the name under which links multiplex it.

    Attributes:
        name: The name on the wire.
        module: The generated module with its `Client` and `Processor`.
    """

    name: str
    module: ModuleType
