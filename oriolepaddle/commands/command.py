"""Commands to model engines."""

import attrs

__all__ = ["EngineCommand"]


@attrs.frozen
class EngineCommand:
    """The whole state that an engine is to take on.

    Attributes:
        endpoint: The endpoint whose engine it is for.
        ticket: The number of the ticket that published it; the fencing number.
        model: The model to load.
        version: The model's version.
        adapters: Adapters to load beside it.
        role: `mixed`, `prefill` or `decode`.
    """

    endpoint: str
    ticket: int
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
