"""Shares of the outcomes of the requests of a run."""

from collections.abc import Iterable

import attrs

from experiments.placement.region import Outcome

__all__ = ["Summary", "summarize"]

LATE_VALUE_SHARE = 0.3
"""Value of a complete but late answer, as a share of that of one on time."""
LARGEST_SHARE = 0.1


@attrs.frozen
class Summary:
    """Shares of the requests of one kind, or of all.

    Attributes:
        name: The request kind, or "all".
        earned_share: Value of the answers, as a share of the total value of the
            requests.
        on_time: Answered within all targets of their kind.
        late: Answered completely, but outside of a target.
        refused: Refused by the placer.
        incomplete: Started, but without a complete answer.
        earned_share_of_largest: `earned_share` of the largest tenth of the requests.
    """

    name: str
    earned_share: float
    on_time: float
    late: float
    refused: float
    incomplete: float
    earned_share_of_largest: float


def summarize(name: str, outcomes: Iterable[Outcome]) -> Summary:
    """Return the shares of the outcomes; the earned shares are weighted by value."""
    by_size = sorted(outcomes, key=lambda item: item.size)
    large = by_size[-max(1, int(LARGEST_SHARE * len(by_size))) :]
    count = len(by_size)
    on_time = sum(item.is_on_time for item in by_size) / count
    complete = sum(item.is_complete for item in by_size) / count
    refused = sum(item.is_refused for item in by_size) / count
    return Summary(
        name,
        _find_earned_share(by_size),
        on_time,
        complete - on_time,
        refused,
        1 - complete - refused,
        _find_earned_share(large),
    )


def _find_earned_share(outcomes: list[Outcome]) -> float:
    total_value = sum(item.size * item.kind.value for item in outcomes)
    earned_value = sum(
        item.size * item.kind.value * (1.0 if item.is_on_time else LATE_VALUE_SHARE)
        for item in outcomes
        if item.is_complete
    )
    return earned_value / total_value
