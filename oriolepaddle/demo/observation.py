"""One row of the demo's table."""

import attrs

__all__ = ["Observation"]


@attrs.frozen
class Observation:
    """A step of the demo and its result.

    Attributes:
        step: A description of the step.
        result: The measured values, as text.
    """

    step: str
    result: str
