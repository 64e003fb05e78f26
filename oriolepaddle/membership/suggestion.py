"""Suggestions of entry instances for callers."""

import math
import random
from collections.abc import Iterable
from datetime import timedelta

import attrs

from oriolepaddle.publication import Instance

__all__ = ["SUGGESTION_TTL", "Suggestion", "order_by_size"]

SUGGESTION_TTL = timedelta(seconds=10)


@attrs.frozen
class Suggestion:
    """Entry instances in the order in which a caller should try them.

    Attributes:
        instances: The instances in order.
        valid_for: The time after which the caller should query again.
    """

    instances: tuple[Instance, ...]
    valid_for: timedelta = SUGGESTION_TTL


def order_by_size(
    instances: Iterable[Instance], count: int, generator: random.Random
) -> tuple[Instance, ...]:
    """Draw instances without replacement, each draw weighted by size.

    Each instance draws an exponential arrival time with its size as the rate;
    the order of arrival is the order of weighted draws.
    """
    arrivals = [
        (-math.log(1.0 - generator.random()) / instance.size, instance.id, instance)
        for instance in sorted(instances, key=lambda instance: instance.id)
        if instance.size > 0
    ]
    arrivals.sort(key=lambda arrival: arrival[:2])
    return tuple(instance for _, _, instance in arrivals[:count])
