import json

import pytest

from oriolepaddle.config import parse_ticket
from oriolepaddle.errors import AuthenticationError
from oriolepaddle.gateway import Authenticator
from oriolepaddle.gateway.tests.conftest import KEY
from oriolepaddle.standins import make_object


def merge(config, number, *objects):
    ticket = {"number": number, "objects": list(objects)}
    config.merge(parse_ticket(json.dumps(ticket)).entries)


class TestRecheck:
    # A request without a key must not run on a route that closed while it waited.
    @pytest.mark.parametrize(
        "change",
        [
            make_object("route", "timetable", kind="service"),
            {"kind": "route", "id": "timetable", "value": None},
        ],
    )
    def test_route_that_is_no_longer_open_ends_requests_without_a_key(
        self, config, change
    ):
        authenticator = Authenticator(config)
        route = config.route("timetable")
        authenticator.recheck(route, None)
        merge(config, 2, change)
        with pytest.raises(AuthenticationError):
            authenticator.recheck(route, None)

    def test_withdrawn_key_ends_its_requests(self, config):
        authenticator = Authenticator(config)
        route = config.route("visit-desk")
        key = authenticator.authenticate(route, KEY).key
        authenticator.recheck(route, key)
        merge(config, 2, {"kind": "key", "id": "k1", "value": None})
        with pytest.raises(AuthenticationError):
            authenticator.recheck(route, key)
