"""Placements: what an engine is to have loaded."""

import attrs

__all__ = ["Placement"]


@attrs.frozen
class Placement:
    """What one endpoint's engine is to run.

    Attributes:
        id: Its name.
        endpoint: The endpoint that it speaks of.
        model: The model to load.
        version: The model's version.
        adapters: Adapters to load beside it.
        role: `mixed`, `prefill` or `decode`.
    """

    id: str
    endpoint: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
