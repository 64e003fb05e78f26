"""A statement about the system, its tests and what they do not cover."""

import attrs

__all__ = ["Claim"]


@attrs.frozen
class Claim:
    """A guarantee of the system, or a combination of faults.

    Attributes:
        text: The statement.
        tests: Pairs of the injected faults and the node id of a test.
        unproved: What no test covers; empty if all is covered.
    """

    text: str
    tests: tuple[tuple[str, str], ...] = ()
    unproved: str = ""
