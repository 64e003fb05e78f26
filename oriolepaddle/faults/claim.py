"""A statement with the tests that show it and what they leave open."""

import attrs

__all__ = ["Claim"]


@attrs.frozen
class Claim:
    """Something that must hold, or a pair of faults.

    Attributes:
        text: The statement.
        tests: By the fault or faults they bring about, the tests' node ids.
        unproved: What no test shows; empty if nothing is open.
    """

    text: str
    tests: tuple[tuple[str, str], ...] = ()
    unproved: str = ""
