"""One row of the demo's table."""

import attrs

__all__ = ["Observation"]


@attrs.frozen
class Observation:
    """What one step did and what was seen.

    Attributes:
        step: What was done.
        seen: What was measured or counted.
    """

    step: str
    seen: str
