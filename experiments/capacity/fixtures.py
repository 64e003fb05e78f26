"""Configurations of any size, with routers and requests for them."""

import hashlib
import json
import random

from oriolepaddle.clock import Clock
from oriolepaddle.config import ConfigState, Entry
from oriolepaddle.config.model import (
    DataCentre,
    Endpoint,
    Key,
    ObjectKind,
    Organisation,
    Route,
    RouteKind,
)
from oriolepaddle.routing import Router, RoutingRequest, ShortestTimePolicy

__all__ = [
    "KEY",
    "ORGANISATION",
    "ROUTE",
    "make_body",
    "make_config",
    "make_router",
    "make_routing_request",
]

ROUTE = Route(id="oriole-answers", kind=RouteKind.MODEL)
KEY = "experiment-key"
ORGANISATION = Organisation("organisation-0", 1e12, 1e12)
DATA_CENTRE = "dc0"
INSTANCES = 8
PEER_DELAY_S = 0.08
PREFIXES = tuple(range(4))


def make_config(endpoints: int, elsewhere: int = 0) -> ConfigState:
    """Return a configuration with endpoints in this and in another data centre."""
    state = ConfigState()
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    state.merge(
        [
            Entry(ObjectKind.ROUTE, ROUTE.id, 1, ROUTE),
            Entry(ObjectKind.ORGANISATION, ORGANISATION.id, 1, ORGANISATION),
            Entry(ObjectKind.KEY, "k", 1, Key("k", ORGANISATION.id, digest)),
            *(
                Entry(ObjectKind.DATA_CENTRE, name, 1, DataCentre(name, region=name))
                for name in (DATA_CENTRE, "dc1")
            ),
            *(_make_endpoint(number, DATA_CENTRE) for number in range(endpoints)),
            *(_make_endpoint(number, "dc1") for number in range(elsewhere)),
        ]
    )
    return state


def make_router(clock: Clock, config: ConfigState) -> Router:
    """Return a router without load reports."""
    policy = ShortestTimePolicy(random.Random(1))
    return Router(
        clock,
        config,
        DATA_CENTRE,
        policy,
        lambda: INSTANCES,
        lambda data_centre: PEER_DELAY_S,
    )


def make_routing_request() -> RoutingRequest:
    """Return a routing request whose prompt has four prefix blocks."""
    return RoutingRequest(
        "r", ROUTE, ORGANISATION, 1_000, 227, PREFIXES, deadline_s=1e9
    )


def make_body(characters: int) -> bytes:
    """Return a chat completion body with a prompt of about that many characters."""
    message = {"role": "user", "content": "word " * (characters // 5)}
    document = {"model": ROUTE.id, "stream": True, "messages": [message]}
    return json.dumps(document).encode()


def _make_endpoint(number: int, data_centre: str) -> Entry:
    name = f"{data_centre}-e{number}"
    endpoint = Endpoint(name, data_centre, "127.0.0.1:1", (ROUTE.id,))
    return Entry(ObjectKind.ENDPOINT, name, 1, endpoint)
