import json

import pytest

from oriolepaddle.config import parse_ticket
from oriolepaddle.errors import AuthenticationError
from oriolepaddle.gateway import Authenticator
from oriolepaddle.gateway.tests.conftest import KEY
from oriolepaddle.standins import make_key, make_object

WITHDRAWAL = {"kind": "key", "id": "k1", "value": None}


def merge(config, number, *objects):
    ticket = {"number": number, "objects": list(objects)}
    config.merge(parse_ticket(json.dumps(ticket)).entries)


class TestWithoutAnyKey:
    # A configuration without keys must not be served as one that needs none.
    @pytest.mark.parametrize("presented", [None, "", KEY, "key-of-nobody"])
    def test_closed_routes_are_refused(self, config, presented):
        merge(config, 2, WITHDRAWAL)
        authenticator = Authenticator(config)
        with pytest.raises(AuthenticationError):
            authenticator.authenticate(config.route("visit-desk"), presented)
        assert authenticator.authenticate(config.route("timetable"), presented) is None

    def test_key_that_is_given_back_is_served_again(self, config):
        authenticator = Authenticator(config)
        merge(config, 2, WITHDRAWAL)
        merge(config, 3, make_key("k1", "norddal", KEY))
        caller = authenticator.authenticate(config.route("visit-desk"), KEY)
        assert caller.organisation.id == "norddal"

    def test_organisation_without_an_entry_is_refused(self, config):
        merge(config, 2, {"kind": "organisation", "id": "norddal", "value": None})
        with pytest.raises(AuthenticationError):
            Authenticator(config).authenticate(config.route("visit-desk"), KEY)


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
        merge(config, 2, WITHDRAWAL)
        with pytest.raises(AuthenticationError):
            authenticator.recheck(route, key)
