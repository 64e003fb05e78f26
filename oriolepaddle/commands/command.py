"""Commands for model engines."""

import attrs

__all__ = ["EngineCommand"]


@attrs.frozen
class EngineCommand:
    """The complete desired state of an engine.

    Attributes:
        endpoint: Id of the engine's endpoint.
        ticket: Number of the ticket that published it, used as fencing number.
        model: Model to load.
        version: Version of the model.
        adapters: Adapters to load along with the model.
        role: `mixed`, `prefill` or `decode`.
    """

    endpoint: str
    ticket: int
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
