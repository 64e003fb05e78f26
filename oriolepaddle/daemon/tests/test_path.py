import json
import threading
from http.client import IncompleteRead

import pytest

from oriolepaddle.daemon.tests.fleet import CHAT, KEY, OTHER_KEY, Fleet, make_chat


@pytest.fixture(scope="module")
def fleet():
    fleet = Fleet().start(n1="nordur-a", n2="nordur-a", s1="sudur-a")
    yield fleet
    fleet.close()


def find_error(body):
    return json.loads(body)["error"]


class TestWholePath:
    def test_request_is_served(self, fleet):
        status, body = fleet.daemons["n1"].request("POST", CHAT, make_chat(tokens=3))
        assert status == 200
        document = json.loads(body)
        assert document["choices"][0]["message"]["content"] == "0 1 2"
        assert document["endpoint"].startswith("nordur-")

    def test_answer_is_streamed(self, fleet):
        chat = make_chat(tokens=3, stream=True)
        status, body = fleet.daemons["n2"].request("POST", CHAT, chat)
        assert status == 200
        assert body.count(b"data: ") == 4
        assert body.endswith(b"data: [DONE]\n\n")

    def test_request_without_key_is_refused(self, fleet):
        status, body = fleet.daemons["n1"].request("POST", CHAT, make_chat(), key=None)
        assert status == 401
        assert find_error(body)["code"] == "key_missing"
        assert find_error(body)["outcome"] == "not run"

    def test_request_stays_in_region_of_residency(self, fleet):
        for _ in range(5):
            status, body = fleet.daemons["n1"].request(
                "POST", CHAT, make_chat(), key=OTHER_KEY
            )
            assert status == 200
            assert json.loads(body)["endpoint"] == "sudur-e1"

    def test_endpoint_sees_no_key(self, fleet):
        chat = make_chat() | {"api_key": KEY}
        status, _ = fleet.daemons["n1"].request(
            "POST", CHAT + f"?api_key={KEY}", chat, headers={"Cookie": f"key={KEY}"}
        )
        assert status == 200
        for engine in fleet.engines.values():
            for request in engine.received:
                assert KEY not in repr(request)

    def test_order_runs_once(self, fleet):
        fleet.desk.cut_before_answer = True
        order = {"stay": "family-7"}
        status, body = fleet.daemons["n1"].request(
            "POST", "/services/visit-desk/b", order
        )
        fleet.desk.cut_before_answer = False
        assert status == 502
        assert find_error(body)["outcome"] == "unknown"
        assert fleet.desk.runs[json.dumps(order).encode()] == 1

    def test_order_number_makes_repeats_safe(self, fleet):
        n1, n2 = fleet.daemons["n1"], fleet.daemons["n2"]
        status, body = n1.request("POST", "/v1/orders", {"route": "visit-desk"})
        assert status == 201
        headers = {"Idempotency-Key": json.loads(body)["order"]}
        order = {"stay": "family-8"}
        path = "/services/visit-desk/book"
        answers = [
            daemon.request("POST", path, order, headers=headers)
            for daemon in (n1, n2, n1)
        ]
        assert [answer[0] for answer in answers] == [200, 200, 200]
        assert len({answer[1] for answer in answers}) == 1
        assert fleet.desk.runs[json.dumps(order).encode()] == 1

    def test_unknown_order_number_is_refused(self, fleet):
        order = {"stay": "family-9"}
        status, body = fleet.daemons["n1"].request(
            "POST", "/services/visit-desk/book", order, headers={"Idempotency-Key": "x"}
        )
        assert (status, find_error(body)["code"]) == (400, "order_number_invalid")
        assert json.dumps(order).encode() not in fleet.desk.runs

    def test_cut_stream_is_marked(self, fleet):
        for engine in fleet.engines.values():
            engine.faults.cut_after_tokens = 2
        response = fleet.daemons["n1"].send("POST", CHAT, make_chat(stream=True))
        with pytest.raises(IncompleteRead) as caught:
            response.read()
        assert b"event: error" in caught.value.partial
        for engine in fleet.engines.values():
            engine.faults.cut_after_tokens = None

    def test_callers_are_told_which_instances_to_use(self, fleet):
        status, body = fleet.daemons["n1"].request("GET", "/v1/instances", key=None)
        document = json.loads(body)
        assert status == 200
        assert {found["id"] for found in document["instances"]} <= {"n1", "n2"}
        assert document["instances"]
        assert document["valid_for_s"] > 0
        path = "/v1/instances?data_centre=sudur-a"
        _, body = fleet.daemons["n1"].request("GET", path, key=None)
        assert [found["id"] for found in json.loads(body)["instances"]] == ["s1"]

    def test_operators_see_the_fleet(self, fleet):
        daemon = fleet.daemons["n1"]
        status = daemon.call_operator_api("GET", "/v1/status")
        assert status["is_ready"], status
        assert status["highest_ticket"] == fleet.number
        peers = daemon.call_operator_api("GET", "/v1/instances")["instances"]
        assert {peer["id"] for peer in peers} == {"n2", "s1"}
        limit = daemon.call_operator_api("GET", "/v1/limits/norddal")
        assert 0 < limit["balance_tokens"] <= limit["burst_tokens"]
        body = {"route": "oriole-answers", "organisation": "sudurvik"}
        explained = daemon.call_operator_api("POST", "/v1/route/explain", body)
        assert explained["data_centre"] == "sudur-a"
        assert len(daemon.call_operator_api("GET", "/v1/endpoints")["endpoints"]) == 3

    def test_graceful_shutdown_cuts_no_request(self, fleet):
        fleet.desk.may_answer.clear()
        daemon = fleet.daemons["n2"]
        answers = []
        before = len(fleet.desk.paths)
        caller = threading.Thread(
            target=lambda: answers.append(
                daemon.request("POST", "/services/visit-desk/x")
            )
        )
        caller.start()
        while len(fleet.desk.paths) == before:
            threading.Event().wait(0.01)
        stopped = threading.Thread(target=daemon.stop)
        stopped.start()
        while not any("draining" in line for line in daemon.lines):
            threading.Event().wait(0.01)
        fleet.desk.may_answer.set()
        caller.join(30)
        stopped.join(30)
        assert answers[0][0] == 200
        assert daemon.process.returncode == 0
