"""Which entry instances callers are told to use."""

import math
import random
from collections.abc import Iterable
from datetime import timedelta

import attrs

from oriolepaddle.publication import Instance

__all__ = ["SUGGESTION_LIFE", "Suggestion", "order_by_size"]

SUGGESTION_LIFE = timedelta(seconds=10)


@attrs.frozen
class Suggestion:
    """Entry instances to use, the one to try first in front.

    Attributes:
        instances: The instances in order.
        valid_for: After this time the caller asks again.
    """

    instances: tuple[Instance, ...]
    valid_for: timedelta = SUGGESTION_LIFE


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
