import http.client
import json

import pytest

from oriolepaddle.daemon.tests.edge_fleet import (
    DESK,
    HOST,
    KEY,
    OTHER_KEY,
    EdgeFleet,
    await_true,
    make_document,
)
from oriolepaddle.platform import decode_document

NEVER_ISSUED = "key-of-nobody"
NORDDAL, SUDURVIK = "norddal", "sudurvik"
WITHOUT_KEYS = [{"name": NORDDAL, "apiKeys": []}, {"name": SUDURVIK, "apiKeys": []}]
WITHOUT_THE_FIELD = [{"name": NORDDAL}, {"name": SUDURVIK}]


@pytest.fixture
def fleet():
    fleet = EdgeFleet()
    fleet.add_runner("d1", DESK)
    yield fleet
    fleet.close()


def start(fleet, names=("n1",)):
    for name in names:
        fleet.add_instance(name)
    fleet.await_ready()


def publish(fleet, version, tenants):
    fleet.publish(make_document(version, tenants=tenants))
    for instance in fleet.instances.values():
        await_true(lambda i=instance: i.catalog.version == version)


def request_statuses(fleet, name="n1"):
    return {
        fleet.request(name, "/read/1", key=key)[0]
        for key in (KEY, OTHER_KEY, NEVER_ISSUED, None)
    }


def runs_for(fleet):
    return [
        item.headers.get("x-oriolepaddle-tenant")
        for item in fleet.runners["d1"].received
    ]


class TestWithoutAnyKey:
    # A configuration without keys must not be served as one that needs none.
    @pytest.mark.parametrize("tenants", [WITHOUT_KEYS, WITHOUT_THE_FIELD, []])
    def test_closed_routes_are_refused_after_the_last_withdrawal(self, fleet, tenants):
        start(fleet, ("n1", "n2"))
        assert fleet.request("n1", "/read/1")[0] == 200
        publish(fleet, 2, tenants)
        for name in ("n1", "n2"):
            assert request_statuses(fleet, name) == {401}
            assert fleet.request(name, "/open/1", key=None)[0] == 200
        assert runs_for(fleet) == [NORDDAL, None, None]

    @pytest.mark.parametrize("tenants", [WITHOUT_KEYS, WITHOUT_THE_FIELD, []])
    def test_closed_routes_are_refused_under_a_first_configuration(
        self, fleet, tenants
    ):
        fleet.publish(make_document(3, tenants=tenants))
        start(fleet)
        assert request_statuses(fleet) == {401}
        assert runs_for(fleet) == []

    def test_closed_routes_are_refused_after_a_restart(self, fleet):
        start(fleet)
        publish(fleet, 2, WITHOUT_KEYS)
        fleet.instances.pop("n1").close()
        start(fleet)
        assert request_statuses(fleet) == {401}
        assert runs_for(fleet) == []

    def test_kept_connection_is_refused(self, fleet):
        start(fleet)
        connection = fleet.connect("n1")
        assert request_on(connection) == 200
        publish(fleet, 2, WITHOUT_KEYS)
        assert [request_on(connection) for _ in range(2)] == [401, 401]
        assert runs_for(fleet) == [NORDDAL]

    def test_key_that_is_given_back_is_served_again(self, fleet):
        start(fleet)
        publish(fleet, 2, WITHOUT_KEYS)
        publish(fleet, 3, [{"name": NORDDAL, "apiKeys": [KEY]}, WITHOUT_KEYS[1]])
        statuses = [
            fleet.request("n1", "/read/1", key=key)[0]
            for key in (KEY, OTHER_KEY, NEVER_ISSUED, None)
        ]
        assert statuses == [200, 401, 401, 401]
        assert runs_for(fleet) == [NORDDAL]


class TestKeyOfAnotherOrganisation:
    # A key that moves while its request waits must not run it for the old organisation.
    @pytest.mark.parametrize("path", ["/read/1", "/book/1"])
    def test_request_does_not_run_for_the_organisation_before(
        self, fleet, monkeypatch, path
    ):
        start(fleet)
        instance = fleet.instances["n1"]
        run = instance.context.transport.run

        def move_key_and_run(*arguments):
            moved = make_document(2, tenants=[{"name": SUDURVIK, "apiKeys": [KEY]}])
            instance.catalog.accept_document(
                decode_document(json.dumps(moved).encode())
            )
            run(*arguments)

        monkeypatch.setattr(instance.context.transport, "run", move_key_and_run)
        response = fleet.send("n1", path)
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        assert runs_for(fleet) == []
        assert fleet.request("n1", path)[0] == 200
        assert runs_for(fleet) == [SUDURVIK]


class TestUnreadableConfiguration:
    # A configuration that can't be read may withdraw any key.
    def test_keys_are_refused_until_it_can_be_read(self, fleet):
        instance = fleet.add_instance("n1", withdrawal_bound_ms=4000)
        fleet.await_ready()
        assert fleet.request("n1", "/read/1")[0] == 200
        fleet.publish(make_document(2, tenants=[{"name": NORDDAL, "apiKeys": 7}]))
        await_true(lambda: fleet.request("n1", "/read/1")[0] == 503)
        assert instance.catalog.version == 1
        assert request_statuses(fleet) == {503}
        assert fleet.request("n1", "/open/1", key=None)[0] == 200
        publish(fleet, 3, WITHOUT_KEYS)
        assert request_statuses(fleet) == {401}


class TestWithoutOrganisations:
    def test_no_key_is_needed(self, fleet):
        document = make_document(2)
        del document["tenants"]
        fleet.publish(document)
        start(fleet)
        assert request_statuses(fleet) == {200}


def request_on(connection: http.client.HTTPConnection) -> int:
    headers = {"Host": HOST, "Authorization": f"Token {KEY}"}
    connection.request("GET", "/read/1", headers=headers)
    response = connection.getresponse()
    response.read()
    return response.status
