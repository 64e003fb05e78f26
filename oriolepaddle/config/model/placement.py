"""Placements, which assign models to engines."""

import attrs

__all__ = ["Placement"]


@attrs.frozen
class Placement:
    """The model that the engine of one endpoint is to load.

    Attributes:
        id: The placement's name.
        endpoint: Id of the endpoint that it applies to.
        model: The model to load.
        version: The model's version.
        adapters: Adapters to load with the model.
        role: `mixed`, `prefill` or `decode`.
    """

    id: str
    endpoint: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
