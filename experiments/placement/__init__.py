"""Placing streams in one region, played against engines that batch."""

from experiments.placement.region import Region
from experiments.placement.scenario import SCENARIOS, VARIANTS
from experiments.placement.summary import Summary, summarize

__all__ = ["SCENARIOS", "VARIANTS", "Region", "Summary", "summarize"]
