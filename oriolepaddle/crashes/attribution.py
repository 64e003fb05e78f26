"""Attribution of crashes to what the crashed endpoints ran."""

from collections.abc import Hashable, Mapping, Set
from typing import TypeVar

__all__ = ["find_causes", "find_rivals"]

Key = TypeVar("Key", bound=Hashable)
Crash = TypeVar("Crash", bound=Hashable)


def find_rivals(
    evidence: Mapping[Key, Mapping[Crash, int]], limit: int
) -> dict[Key, frozenset[Key]]:
    """Return each accused key with the keys that explain its crashes as well.

    A key is accused if the evidence against it reaches `limit`. Another accused key
    is its rival if the evidence against it is as strong, and what the key's other
    crashes add up to is below the limit.

    The result depends on nothing but the evidence. Instances that have merged the
    same reports agree on it, in whatever order the reports came.

    Args:
        evidence: The weight of each crash as evidence against each key.
        limit: The sum of weights from which a key is accused.
    """
    totals = {key: sum(found.values()) for key, found in evidence.items()}
    accused = [key for key, total in totals.items() if total >= limit]
    return {
        key: frozenset(
            other
            for other in accused
            if other != key
            and totals[other] >= totals[key]
            and _sum_outside(evidence[key], evidence[other]) < limit
        )
        for key in accused
    }


def find_causes(crashes: Mapping[Key, Set[Crash]], crash_limit: int) -> frozenset[Key]:
    """Return the keys that are the cause of their crashes.

    A key is a cause if at least `crash_limit` of its crashes can't be the work of any
    other one that was in flight at as many crashes. If two can explain each other's
    crashes, neither is a cause, and only a further run can decide.

    Args:
        crashes: The crashes at which each key was in flight, without those that it
            is known not to have caused.
        crash_limit: The number of crashes that make a key a cause.
    """
    evidence = {key: dict.fromkeys(found, 1) for key, found in crashes.items()}
    rivals = find_rivals(evidence, crash_limit)
    return frozenset(key for key, others in rivals.items() if not others)


def _sum_outside(found: Mapping[Crash, int], others: Mapping[Crash, int]) -> int:
    return sum(weight for crash, weight in found.items() if crash not in others)
