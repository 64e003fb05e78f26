"""A cell of the fault matrix: how one fault at one step is covered."""

import attrs

from oriolepaddle.errors import SettingsError

__all__ = ["Cell", "impossible", "shown", "unproved"]


@attrs.frozen
class Cell:
    """The coverage of one fault at one step; exactly one field is set.

    Attributes:
        tests: Node ids (`path::Class::test`) of the tests that inject the fault at
            the step.
        impossible: Why the fault cannot occur at the step.
        unproved: What no test covers.
    """

    tests: tuple[str, ...] = ()
    impossible: str = ""
    unproved: str = ""

    def __attrs_post_init__(self) -> None:
        """Check that one field is set and no other."""
        if sum(map(bool, (self.tests, self.impossible, self.unproved))) != 1:
            raise SettingsError("a cell needs one of tests, impossible, unproved")


def shown(*tests: str) -> Cell:
    """Return a cell that these tests cover."""
    return Cell(tests=tests)


def impossible(reason: str) -> Cell:
    """Return a cell whose fault cannot occur at the step."""
    return Cell(impossible=reason)


def unproved(gap: str) -> Cell:
    """Return a cell that no test covers."""
    return Cell(unproved=gap)
