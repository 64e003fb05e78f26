"""What callers got."""

from collections.abc import Iterable

import attrs

from experiments.placement.region import Outcome

__all__ = ["Summary", "summarize"]

LATE_PART = 0.3
"""What a whole but late answer is worth of one on time."""
LARGE_PART = 0.1


@attrs.frozen
class Summary:
    """Shares of the requests of one kind, or of all.

    Attributes:
        name: The kind.
        worth: What was earned of what was to be earned.
        on_time: Served as callers wish.
        late: Served otherwise.
        refused: Refused at once.
        lost: Begun in vain.
        large_worth: The same as `worth` for the largest tenth.
    """

    name: str
    worth: float
    on_time: float
    late: float
    refused: float
    lost: float
    large_worth: float


def summarize(name: str, outcomes: Iterable[Outcome]) -> Summary:
    """Return the shares of some requests, weighted by what they are worth."""
    found = sorted(outcomes, key=lambda item: item.size)
    large = found[-max(1, int(LARGE_PART * len(found))) :]
    count = len(found)
    on_time = sum(item.is_on_time for item in found) / count
    whole = sum(item.is_whole for item in found) / count
    refused = sum(item.is_refused for item in found) / count
    return Summary(
        name,
        _find_worth(found),
        on_time,
        whole - on_time,
        refused,
        1 - whole - refused,
        _find_worth(large),
    )


def _find_worth(outcomes: list[Outcome]) -> float:
    owed = sum(item.size * item.kind.worth for item in outcomes)
    earned = sum(
        item.size * item.kind.worth * (1.0 if item.is_on_time else LATE_PART)
        for item in outcomes
        if item.is_whole
    )
    return earned / owed
