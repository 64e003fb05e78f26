"""Placement of streams in one region, simulated with batching engines."""

from experiments.placement.region import Region
from experiments.placement.scenario import SCENARIOS, VARIANTS
from experiments.placement.summary import Summary, summarize

__all__ = ["SCENARIOS", "VARIANTS", "Region", "Summary", "summarize"]
