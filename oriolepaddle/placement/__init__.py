"""Placement: choosing the endpoint with the lowest expected latency."""

from oriolepaddle.placement.capacity import RegionCapacity
from oriolepaddle.placement.choice import Choice, ExpectedWork
from oriolepaddle.placement.job import Job, PromptPart
from oriolepaddle.placement.load import EndpointLoad, PeerLoad
from oriolepaddle.placement.paces import Pace, Paces
from oriolepaddle.placement.placer import Placer
from oriolepaddle.placement.run import PlacedRun
from oriolepaddle.placement.score import EndpointScore
from oriolepaddle.placement.urgency import find_urgency
from oriolepaddle.placement.use import find_used_fraction
from oriolepaddle.placement.weights import PlacementWeights

__all__ = [
    "Choice",
    "EndpointLoad",
    "EndpointScore",
    "ExpectedWork",
    "Job",
    "Pace",
    "Paces",
    "PeerLoad",
    "PlacedRun",
    "Placer",
    "PlacementWeights",
    "PromptPart",
    "RegionCapacity",
    "find_urgency",
    "find_used_fraction",
]
