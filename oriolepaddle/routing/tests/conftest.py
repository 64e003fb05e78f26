import random

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.config import ConfigState, Entry
from oriolepaddle.config.model import (
    DataCentre,
    Endpoint,
    ObjectKind,
    Organisation,
    Route,
    RouteKind,
)
from oriolepaddle.routing import Router, RoutingRequest, ShortestTimePolicy

ROUTE = Route(id="oriole-answers", kind=RouteKind.MODEL)
KINDS = {
    Endpoint: ObjectKind.ENDPOINT,
    DataCentre: ObjectKind.DATA_CENTRE,
    Organisation: ObjectKind.ORGANISATION,
    Route: ObjectKind.ROUTE,
}


def make_endpoint(name="e1", data_centre="nordur-a", **values):
    return Endpoint(
        id=name,
        data_centre=data_centre,
        address="127.0.0.1:1",
        routes=(ROUTE.id,),
        **values,
    )


def make_request(name="r1", residency=(), route=ROUTE, **values):
    organisation = Organisation(
        id="norddal", rate_tokens_per_s=1.0, burst_tokens=1.0, residency=residency
    )
    fields = {
        "prompt_tokens": 1000,
        "output_tokens": 100,
        "prefix_hashes": (),
        "deadline_s": 100.0,
    }
    return RoutingRequest(
        id=name, route=route, organisation=organisation, **fields | values
    )


class Bench:
    """Creates routers that share one configuration and one clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.config = ConfigState()
        self.number = 0
        self.put(ROUTE)
        for region in ("nordur", "sudur"):
            self.put(DataCentre(id=f"{region}-a", region=region))

    def put(self, value):
        self.number += 1
        kind = KINDS[type(value)]
        self.config.merge([Entry(kind, value.id, self.number, value)])

    def delete(self, kind, object_id):
        self.number += 1
        self.config.merge([Entry(kind, object_id, self.number, None)])

    def make_router(self, data_centre="nordur-a", instances=1, delay_s=0.08, **values):
        return Router(
            clock=self.clock,
            config=self.config,
            data_centre=data_centre,
            policy=ShortestTimePolicy(random.Random(1)),
            count_instances=lambda: instances,
            delay_s=lambda target: delay_s,
            **values,
        )


@pytest.fixture
def bench():
    return Bench()
