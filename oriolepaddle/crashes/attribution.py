"""Attribution of crashes to what the crashed endpoints ran."""

from collections import defaultdict
from collections.abc import Hashable, Mapping, Set
from typing import Generic, TypeVar

import attrs

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
    groups = _group_accused(evidence, limit)
    groups_by_crash: dict[Crash, list[_Group]] = defaultdict(list)
    for group in groups:
        for crash in group.weights:
            groups_by_crash[crash].append(group)
    rivals = {}
    for group in groups:
        # A rival shares a crash, as all others add up to the limit without it.
        sharing = {
            id(other): other
            for crash in group.weights
            for other in groups_by_crash[crash]
        }
        explaining = [
            other for other in sharing.values() if other.explains(group, limit)
        ]
        keys = frozenset(key for other in explaining for key in other.keys)
        rivals |= {key: keys - {key} for key in group.keys}
    return rivals


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


@attrs.frozen(eq=False)
class _Group(Generic[Key, Crash]):
    """Keys with the same evidence against them, as the parts of one prompt have."""

    keys: tuple[Key, ...]
    weights: Mapping[Crash, int]
    total: int

    def explains(self, other: "_Group[Key, Crash]", limit: int) -> bool:
        """Return whether these keys may be the cause of the other group's crashes."""
        if self.total < other.total:
            return False
        outside = sum(
            weight
            for crash, weight in other.weights.items()
            if crash not in self.weights
        )
        return outside < limit


def _group_accused(
    evidence: Mapping[Key, Mapping[Crash, int]], limit: int
) -> list[_Group[Key, Crash]]:
    keys_by_evidence: dict[frozenset, list[Key]] = defaultdict(list)
    for key, weights in evidence.items():
        if sum(weights.values()) >= limit:
            keys_by_evidence[frozenset(weights.items())].append(key)
    return [
        _Group(tuple(keys), evidence[keys[0]], sum(evidence[keys[0]].values()))
        for keys in keys_by_evidence.values()
    ]
