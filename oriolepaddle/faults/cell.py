"""What is known of one fault at one step."""

import attrs

from oriolepaddle.errors import SettingsError

__all__ = ["Cell", "impossible", "shown", "unproved"]


@attrs.frozen
class Cell:
    """Exactly one of the three fields is set.

    Attributes:
        tests: Node ids (`path::Class::test`) of the tests that bring the fault
            about at the step.
        impossible: Why the fault cannot occur at the step.
        unproved: What no test shows.
    """

    tests: tuple[str, ...] = ()
    impossible: str = ""
    unproved: str = ""

    def __attrs_post_init__(self) -> None:
        """Check that one field is set and no other."""
        if sum(map(bool, (self.tests, self.impossible, self.unproved))) != 1:
            raise SettingsError("a cell needs one of tests, impossible, unproved")


def shown(*tests: str) -> Cell:
    """Return a cell that tests show."""
    return Cell(tests=tests)


def impossible(reason: str) -> Cell:
    """Return a cell of a fault that cannot occur."""
    return Cell(impossible=reason)


def unproved(gap: str) -> Cell:
    """Return a cell that no test shows."""
    return Cell(unproved=gap)
