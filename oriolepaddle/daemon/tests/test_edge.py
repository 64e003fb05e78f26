import http.client
import socket
import threading
import time

import pytest

from oriolepaddle.daemon.tests.edge_fleet import (
    DESK,
    ENGINES,
    HOST,
    KEY,
    OTHER_KEY,
    EdgeFleet,
    await_true,
    make_document,
    make_route,
)
from oriolepaddle.platform.standins import RunnerBehaviour, StoreMode


@pytest.fixture
def fleet():
    fleet = EdgeFleet()
    yield fleet
    fleet.close()


@pytest.fixture
def single(fleet):
    fleet.add_runner("d1", DESK)
    fleet.add_runner("d2", DESK)
    fleet.add_runner("e1", ENGINES, events=5)
    fleet.add_runner("e2", ENGINES, events=5)
    fleet.add_instance("n1")
    fleet.await_ready()
    return fleet


def count_runs(fleet, *names):
    return sum(len(fleet.runners[name].received) for name in names)


class TestPlainRequest:
    def test_is_answered_unchanged(self, single):
        status, body = single.request(
            "n1", "/read/x?y=%20", method="POST", body=b"hello"
        )
        assert (status, body) == (200, b"done hello")
        received = single.runners["d1"].received + single.runners["d2"].received
        assert [(item.method, item.target) for item in received] == [
            ("POST", "/read/x?y=%20")
        ]

    def test_runs_for_the_organisation_and_without_the_key(self, single):
        single.request("n1", "/book/1", method="POST", X_Oriolepaddle_Tenant="forged")
        headers = (single.runners["d1"].received + single.runners["d2"].received)[
            0
        ].headers
        assert headers["x-oriolepaddle-tenant"] == "norddal"
        assert "authorization" not in headers

    def test_drops_headers_that_only_the_gateway_sets(self, single):
        single.request(
            "n1", "/book/1", method="POST", X_Oriolepaddle_Hold="h", Kv_From="x"
        )
        headers = (single.runners["d1"].received + single.runners["d2"].received)[
            0
        ].headers
        assert not {"x-oriolepaddle-hold", "kv-from"} & set(headers)

    def test_forwards_at_most_the_remaining_time(self, single):
        single.request("n1", "/read/1", X_Oriolepaddle_Deadline_Ms="700")
        headers = (single.runners["d1"].received + single.runners["d2"].received)[
            0
        ].headers
        assert 0 < int(headers["x-oriolepaddle-deadline-ms"]) <= 700


class TestRefusal:
    @pytest.mark.parametrize(
        ("path", "key", "expected"),
        [
            ("/none/1", None, 404),
            ("/read/1", None, 401),
            ("/read/1", "wrong", 401),
            ("/open/1", None, 200),
            ("//read/1", KEY, 404),
        ],
    )
    def test_has_the_status_of_its_reason(self, single, path, key, expected):
        assert single.request("n1", path, key=key)[0] == expected

    def test_of_all_endpoints_is_not_run(self, single):
        for name in ("d1", "d2"):
            single.runners[name].behaviours.extend([RunnerBehaviour.SHED] * 4)
        response = single.send("n1", "/book/1", method="POST")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0


class TestRetries:
    @pytest.mark.parametrize(
        "behaviour",
        [
            RunnerBehaviour.RESET,
            RunnerBehaviour.ERROR,
            RunnerBehaviour.FOREIGN,
            RunnerBehaviour.UNSEALED,
        ],
    )
    def test_idempotent_request_goes_to_another_endpoint(self, single, behaviour):
        for name in ("d1", "d2"):
            single.runners[name].behaviours.append(behaviour)
        single.runners["d2"].behaviours.clear()
        statuses = {single.request("n1", "/read/1")[0] for _ in range(3)}
        assert statuses == {200}

    @pytest.mark.parametrize(
        "behaviour", [RunnerBehaviour.RESET, RunnerBehaviour.FOREIGN]
    )
    def test_order_is_not_sent_again(self, single, behaviour):
        for name in ("d1", "d2"):
            single.runners[name].behaviours.append(behaviour)
        status, _ = single.request("n1", "/book/1", method="POST")
        assert status == 502
        assert count_runs(single, "d1", "d2") == 1

    def test_order_that_was_not_run_goes_to_another_endpoint(self, single):
        single.runners["d1"].behaviours.append(RunnerBehaviour.SHED)
        single.runners["d2"].behaviours.append(RunnerBehaviour.SHED)
        single.runners["d2"].behaviours.clear()
        assert single.request("n1", "/book/1", method="POST")[0] == 200

    def test_endpoints_own_failure_is_forwarded(self, single):
        for name in ("d1", "d2"):
            single.runners[name].behaviours.append(RunnerBehaviour.ERROR)
        response = single.send("n1", "/book/1", method="POST")
        assert (response.status, response.read()) == (500, b"failed")
        assert response.headers["X-Oriolepaddle-Server-Seal"]


class TestFailedRetry:
    def test_endpoints_failure_is_forwarded_when_there_is_no_other(self, fleet):
        runner = fleet.add_runner("d1", DESK)
        fleet.add_instance("n1")
        fleet.await_ready()
        runner.behaviours.append(RunnerBehaviour.ERROR)
        response = fleet.send("n1", "/read/1")
        assert (response.status, response.read()) == (500, b"failed")


class TestStream:
    def test_keeps_every_event(self, single):
        status, body = single.request("n1", "/ask/1", method="POST")
        assert status == 200
        assert body.count(b"\n\n") == 5

    def test_that_broke_off_is_resumed_at_another_endpoint(self, single):
        single.runners["e1"].behaviours.append(RunnerBehaviour.CUT_EVENT)
        single.runners["e2"].behaviours.append(RunnerBehaviour.CUT_EVENT)
        single.runners["e2"].behaviours.clear()
        bodies = {single.request("n1", "/chat/1", method="POST")[1] for _ in range(3)}
        expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))
        assert bodies == {expected}

    @pytest.mark.parametrize(
        "behaviour",
        [
            RunnerBehaviour.ERROR,
            RunnerBehaviour.SHED,
            RunnerBehaviour.RESET,
            RunnerBehaviour.FOREIGN,
        ],
    )
    def test_gets_nothing_of_the_next_endpoints_failure(self, single, behaviour):
        for name in ("e1", "e2"):
            single.runners[name].behaviours.append(RunnerBehaviour.CUT_EVENT)
            single.runners[name].behaviours.extend([behaviour] * 4)
        response = single.send("n1", "/chat/1", method="POST")
        with pytest.raises(http.client.IncompleteRead) as caught:
            response.read()
        expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5))
        assert expected.startswith(caught.value.partial)

    def test_that_cannot_be_resumed_is_visibly_cut(self, single):
        for name in ("e1", "e2"):
            single.runners[name].behaviours.append(RunnerBehaviour.CUT_EVENT)
        response = single.send("n1", "/ask/1", method="POST")
        with pytest.raises(Exception, match="IncompleteRead"):
            response.read()

    def test_that_broke_off_is_reset_for_callers_without_chunks(self, single):
        for name in ("e1", "e2"):
            single.runners[name].behaviours.append(RunnerBehaviour.CUT_EVENT)
        with single.connect_socket("n1") as caller:
            caller.sendall(
                b"POST /ask/1 HTTP/1.0\r\n"
                + f"Host: {HOST}\r\nAuthorization: Token {KEY}\r\n".encode()
                + b"X-Oriolepaddle-Request-Id: 77ab\r\n\r\n"
            )
            with pytest.raises(ConnectionResetError):
                while caller.recv(65536):
                    pass

    def test_ends_at_its_endpoint_when_the_caller_disconnects(self, single):
        for name in ("e1", "e2"):
            single.runners[name].pause_s = 0.1
            single.runners[name].events = 40
        response = single.send("n1", "/ask/1", method="POST")
        response.readline()
        response.close()
        await_true(
            lambda: (
                sum(single.runners[name].abandoned_count for name in ("e1", "e2")) == 1
            ),
            2,
        )


class TestConfiguration:
    def test_withdrawn_key_stops_working(self, single):
        document = make_document(2)
        document["tenants"][0]["apiKeys"] = []
        single.publish(document)
        await_true(lambda: single.request("n1", "/read/1")[0] == 401)
        assert single.request("n1", "/read/1", key=OTHER_KEY)[0] == 200

    def test_never_reverts_to_an_older_version(self, single):
        single.publish(make_document(5, routes=[]))
        await_true(lambda: single.request("n1", "/read/1")[0] == 404)
        single.publish(make_document(4))
        time.sleep(0.6)
        assert single.request("n1", "/read/1")[0] == 404

    def test_too_old_refuses_keys_and_serves_open_routes(self, fleet):
        fleet.add_runner("d1", DESK)
        instance = fleet.add_instance("n1", withdrawal_bound_ms=2400)
        fleet.await_ready()
        fleet.store.mode = StoreMode.BUSY
        await_true(lambda: fleet.request("n1", "/read/1")[0] == 503)
        assert not instance.is_ready()
        assert fleet.request("n1", "/open/1", key=None)[0] == 200
        fleet.store.mode = StoreMode.SERVING
        await_true(lambda: fleet.request("n1", "/read/1")[0] == 200)

    @pytest.mark.parametrize(
        ("limits", "size", "expected"),
        [
            ({"maxBodyBytes": 2000}, 2001, 413),
            ({"maxBodyBytes": 2000}, 2000, 200),
            ({"maxBodyBytes": 4_194_304}, 4_194_304, 200),
            ({"maxHeaderBytes": 100}, 10, 431),
        ],
    )
    def test_published_limits_are_applied(self, single, limits, size, expected):
        single.publish(make_document(2, limits=limits))
        await_true(lambda: single.instances["n1"].catalog.version == 2)
        body = b"x" * size
        await_true(
            lambda: (
                single.request("n1", "/read/1", method="POST", body=body)[0] == expected
            )
        )

    def test_survives_lost_history(self, single):
        single.store.forget_history()
        single.publish(make_document(3, routes=[]))
        single.store.forget_history()
        await_true(lambda: single.request("n1", "/read/1")[0] == 404)


class TestEndpoints:
    def test_leaving_one_gets_no_work(self, single):
        single.runners["d1"].state = "draining"
        single.register("d1")
        catalog = single.instances["n1"].catalog
        await_true(lambda: catalog.endpoint("d1").state.value == "leaving")
        before = count_runs(single, "d1")
        for _ in range(6):
            assert single.request("n1", "/read/1")[0] == 200
        assert count_runs(single, "d1") == before

    def test_evacuated_data_centre_gets_no_work(self, single):
        single.store.put("op/evacuate/nordur-a", b"{}")
        await_true(lambda: single.request("n1", "/read/1")[0] == 503)
        single.store.delete("op/evacuate/nordur-a")
        await_true(lambda: single.request("n1", "/read/1")[0] == 200)

    def test_reused_address_is_not_mistaken_for_the_endpoint(self, single):
        runner = single.runners["d1"]
        runner.id = "another"
        for _ in range(6):
            assert single.request("n1", "/read/1")[0] == 200
        assert not runner.received


class TestRegions:
    @pytest.fixture
    def pair(self, fleet):
        fleet.add_runner("dn", DESK, "nordur-a")
        fleet.add_runner("ds", DESK, "sudur-a")
        fleet.add_instance("n1", "nordur-a")
        fleet.add_instance("s1", "sudur-a")
        fleet.await_ready()
        return fleet

    def test_request_is_served_in_its_home_region(self, pair):
        await_true(lambda: pair.request("n1", "/home/1")[0] == 200)
        assert not pair.runners["dn"].received
        assert pair.runners["ds"].received

    def test_forwarded_answer_is_complete(self, pair):
        await_true(lambda: pair.request("n1", "/home/1")[0] == 200)
        response = pair.send("n1", "/home/2", method="POST", body=b"hello")
        assert (response.status, response.read()) == (200, b"done hello")
        assert response.headers["X-Oriolepaddle-Server-Seal"]

    def test_forwarded_request_keeps_its_routes_timeout(self, pair):
        # The caller's deadline is later than the route's timeout.
        route = make_route(
            "home", "/home/", "safe", DESK, homeRegions=["sudur"], timeoutMs=1000
        )
        pair.publish(make_document(2, routes=[route]))
        await_true(lambda: pair.instances["s1"].catalog.version == 2)
        await_true(lambda: pair.request("n1", "/home/1")[0] == 200)
        received = pair.runners["ds"].received[-1]
        assert int(received.headers["x-oriolepaddle-deadline-ms"]) > 500

    def test_caller_cannot_pose_as_an_instance(self, pair):
        status, _ = pair.request("n1", "/home/1", X_Request_Hops="n9")
        await_true(lambda: pair.request("n1", "/home/1", X_Request_Hops="n9")[0] == 200)

    def test_directory_names_the_callers_region(self, pair):
        near = pair.settings["n1"].caller_address
        await_true(lambda: pair.resolve("s1", "nordur") == [near])

    def test_other_region_serves_when_the_own_has_no_endpoint(self, pair):
        pair.store.delete("servers/dn")
        await_true(lambda: pair.instances["n1"].catalog.endpoint("dn") is None)
        assert pair.request("n1", "/read/1")[0] == 200

    def test_other_region_serves_while_the_own_endpoints_are_down(self, pair):
        """More endpoints than a request attempts are listed but refuse connections."""
        names = [f"dn{number}" for number in range(5)]
        for name in names:
            pair.add_runner(name, DESK, "nordur-a")
        pair.await_ready()
        await_true(lambda: pair.request("n1", "/home/1")[0] == 200)
        for name in ("dn", *names):
            pair.runners[name].stop()
        statuses = [pair.request("n1", f"/read/{number}")[0] for number in range(6)]
        assert statuses == [200] * 6


class TestPeers:
    def test_isolated_instance_gets_the_catalog_from_a_peer(self, fleet):
        fleet.add_runner("d1", DESK)
        fleet.add_instance("n1")
        cut = fleet.add_instance("n2", platform_address="127.0.0.1:1")
        await_true(fleet.instances["n1"].is_ready)
        await_true(cut.is_ready)
        route = make_route("read", "/late/", "safe", DESK)
        fleet.publish(make_document(2, routes=[route]))
        await_true(lambda: cut.catalog.version == 2)
        document = make_document(3, routes=[route])
        document["tenants"][0]["apiKeys"] = []
        fleet.publish(document)
        await_true(lambda: fleet.request("n2", "/late/1")[0] == 401)


class TestDrain:
    def test_continues_serving_and_closes_connections(self, single):
        instance = single.instances["n1"]
        stopping = threading.Thread(target=instance.stop)
        stopping.start()
        await_true(lambda: not instance.is_ready())
        response = single.send("n1", "/read/1")
        assert response.status == 200
        assert response.headers["Connection"] == "close"
        stopping.join(10)
        assert not stopping.is_alive()

    def test_closes_connections_once_it_is_unready(self, single):
        instance = single.instances["n1"]
        observations = []
        refresh = instance._refresh

        def send_before_refresh():
            observations.append((instance.is_ready(), single.send("n1", "/read/1")))
            refresh()

        instance._refresh = send_before_refresh
        stopping = threading.Thread(target=instance.stop)
        stopping.start()
        await_true(lambda: observations)
        is_ready, response = observations[0]
        assert not is_ready
        assert response.headers["Connection"] == "close"
        stopping.join(10)

    def test_closes_idle_connections_before_it_exits(self, single):
        # A request that comes on one of them while the process exits would be cut off.
        instance = single.instances["n1"]
        kept = single.connect("n1")
        headers = {"Host": HOST, "Authorization": f"Token {KEY}"}
        kept.request("GET", "/open/1", headers=headers)
        assert kept.getresponse().read()
        assert is_open(kept)
        instance.stop()
        assert not is_open(kept)


def is_open(connection):
    connection.sock.settimeout(0.05)
    try:
        return bool(connection.sock.recv(1, socket.MSG_PEEK))
    except TimeoutError:
        return True
    except OSError:
        return False


class TestReservations:
    def test_are_settled_for_every_outcome_of_the_request(self, fleet):
        runner = fleet.add_runner("d1", DESK)
        document = make_document(2)
        document["tenants"][0] |= {"ratePerS": 1000, "burst": 1000}
        fleet.publish(document)
        instance = fleet.add_instance("n1")
        fleet.await_ready()
        await_true(lambda: fleet.request("n1", "/read/1")[0] == 200)
        runner.behaviours.extend(
            [RunnerBehaviour.SHED, RunnerBehaviour.RESET, RunnerBehaviour.ERROR]
        )
        for _ in range(4):
            fleet.request("n1", "/book/1", method="POST")
        await_true(lambda: instance.context.activity.count == 0)
        assert instance.pool.open_debits == 0
