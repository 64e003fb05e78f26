"""Routing: which endpoint, or which other data centre, runs a request."""

from oriolepaddle.routing.cache_events import CacheEvents
from oriolepaddle.routing.candidate import Candidate
from oriolepaddle.routing.decision import Decision
from oriolepaddle.routing.endpoint_policy import EndpointPolicy
from oriolepaddle.routing.load_report import LoadReport
from oriolepaddle.routing.load_summary import LoadSummary
from oriolepaddle.routing.prefix import estimate_tokens, hash_prompt
from oriolepaddle.routing.request_handle import RequestHandle
from oriolepaddle.routing.router import Router
from oriolepaddle.routing.routing_request import RoutingRequest
from oriolepaddle.routing.score import Score
from oriolepaddle.routing.shortest_time import ShortestTimePolicy

__all__ = [
    "CacheEvents",
    "Candidate",
    "Decision",
    "EndpointPolicy",
    "LoadReport",
    "LoadSummary",
    "RequestHandle",
    "Router",
    "RoutingRequest",
    "Score",
    "ShortestTimePolicy",
    "estimate_tokens",
    "hash_prompt",
]
