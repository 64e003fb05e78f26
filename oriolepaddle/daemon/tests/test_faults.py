"""Faults on daemon processes: kill, freeze, cut, silence, outage and races."""

import json
import threading
from http.client import HTTPException

import pytest

from oriolepaddle.daemon.tests.fleet import (
    CHAT,
    KEY,
    OTHER_KEY,
    Fleet,
    await_true,
    count_runs,
    issue,
    make_chat,
    make_organisation,
    send_order,
)
from oriolepaddle.standins import RelayMode, make_object as make

WITHDRAWAL = [{"kind": "key", "id": "k1", "value": None}]
PROPAGATION_TIMEOUT_S = 8


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    fleet.close()


@pytest.fixture
def running(fleet):
    return fleet.start(n1="nordur-a", n2="nordur-a", s1="sudur-a")


def find_code(answer):
    return json.loads(answer[1])["error"]["code"]


def open_stream(daemon, tokens=2_000):
    response = daemon.send("POST", CHAT, make_chat(tokens=tokens, stream=True))
    if response.status != 200:
        raise AssertionError(response.read(), "".join(daemon.lines))
    response.readline()
    return response


class TestWithdrawnKey:
    def test_ends_streams_and_requests_everywhere(self, running):
        for engine in running.engines.values():
            engine.token_interval_s = 0.05
        streams = [open_stream(daemon) for daemon in running.daemons.values()]
        running.publish(WITHDRAWAL)
        for stream in streams:
            assert b"key_withdrawn" in read_rest(stream)
        for daemon in running.daemons.values():
            assert find_code(daemon.request("POST", CHAT, make_chat())) == "key_unknown"

    def test_reaches_an_instance_without_the_platform_through_peers(self, running):
        running.platform_links["n2"].set_mode(RelayMode.CUT)
        running.platform_links["s1"].set_mode(RelayMode.SILENT)
        running.publish(WITHDRAWAL)
        for daemon in running.daemons.values():
            await_true(lambda d=daemon: is_refused(d), PROPAGATION_TIMEOUT_S)

    def test_is_known_to_a_process_that_slept(self, running):
        daemon = running.daemons["n1"]
        daemon.freeze()
        running.publish(WITHDRAWAL)
        await_true(lambda: is_refused(running.daemons["n2"]), PROPAGATION_TIMEOUT_S)
        daemon.wake()
        await_true(lambda: is_refused(daemon), PROPAGATION_TIMEOUT_S)

    def test_does_not_revert_when_every_instance_is_replaced(self, running):
        running.publish(WITHDRAWAL)
        for daemon in running.daemons.values():
            await_true(lambda d=daemon: is_refused(d), PROPAGATION_TIMEOUT_S)
        running.platform.hide_after(1)
        for name in ("n1", "n2", "s1"):
            running.replace(name)
            assert is_refused(running.daemons[name])


def is_refused(daemon):
    return daemon.request("POST", CHAT, make_chat(tokens=1))[0] == 401


def read_rest(stream):
    try:
        return stream.read()
    except HTTPException as error:
        return error.partial


class TestResidency:
    def test_is_kept_when_the_region_is_cut_off(self, running):
        running.publish([make_organisation("norddal", residency=["sudur"])])
        request = running.daemons["n1"].request
        await_true(lambda: b"sudur-e1" in request("POST", CHAT, make_chat())[1])
        before = count_north(running)
        running.daemons["s1"].kill()
        for _ in range(5):
            status, body = request("POST", CHAT, make_chat())
            assert status >= 500
            assert json.loads(body)["error"]["outcome"] in ("not run", "unknown")
        assert count_north(running) == before


def count_north(fleet):
    return sum(
        len(engine.received)
        for name, engine in fleet.engines.items()
        if name.startswith("nordur")
    )


class TestIsolatedRegion:
    def test_keeps_serving(self, running):
        # A restarted data centre has no share while loans of its previous
        # incarnation may still be valid elsewhere.
        s1 = running.daemons["s1"]
        await_true(
            lambda: s1.call_operator_api("GET", "/v1/limits/norddal")["share"] > 0, 60
        )
        running.cut_region("s1")
        for _ in range(20):
            for daemon in running.daemons.values():
                assert daemon.request("POST", CHAT, make_chat())[0] == 200

    def test_takes_in_what_it_missed_after_the_cut(self, running):
        running.cut_region("s1")
        running.publish(WITHDRAWAL)
        await_true(lambda: is_refused(running.daemons["n1"]), PROPAGATION_TIMEOUT_S)
        assert not is_refused(running.daemons["s1"])
        running.restore_links()
        await_true(lambda: is_refused(running.daemons["s1"]), 30)


class TestHops:
    def test_forged_hops_are_refused(self, running):
        headers = {
            "X-Oriolepaddle-Hops": "s1",
            "X-Oriolepaddle-Key-Digest": "0" * 64,
            "X-Oriolepaddle-Deadline-Left-Ms": "1000",
            "X-Oriolepaddle-Signature": "0" * 64,
        }
        answer = running.daemons["n1"].request(
            "POST", CHAT, make_chat(), headers=headers
        )
        assert find_code(answer) == "peer_rejected"


class TestKilledInstance:
    def test_its_stream_is_seen_to_be_cut(self, running):
        for engine in running.engines.values():
            engine.token_interval_s = 0.02
        stream = open_stream(running.daemons["n1"])
        running.daemons["n1"].kill()
        with pytest.raises((HTTPException, OSError)):
            stream.read()


class TestSilentConnection:
    def test_is_found_and_the_request_repeated_elsewhere(self, fleet):
        fleet.publish([make("route", "oriole-answers", kind="model", first_byte_s=1)])
        fleet.start(n1="nordur-a", n2="nordur-a", s1="sudur-a")
        request = fleet.daemons["n1"].request
        for _ in range(6):
            assert request("POST", CHAT, make_chat())[0] == 200
        fleet.engine_links["nordur-e1"].set_mode(RelayMode.DROP_OPEN)
        fleet.engine_links["nordur-e2"].set_mode(RelayMode.DROP_OPEN)
        for _ in range(6):
            assert request("POST", CHAT, make_chat())[0] == 200


class TestBrokenStream:
    def test_is_resumed_without_lost_or_doubled_events(self, running):
        for engine in running.engines.values():
            engine.token_interval_s = 0.02
        chat = make_chat(tokens=60, stream=True)
        response = running.daemons["n1"].send("POST", CHAT, chat)
        response.readline()
        for link in running.engine_links.values():
            link.set_mode(RelayMode.CUT)
            link.set_mode(RelayMode.PASS)
        body = response.read()
        numbers = [
            json.loads(line[6:])["choices"][0]["delta"]["content"].strip()
            for line in body.split(b"\n")
            if line.startswith(b"data: {")
        ]
        assert numbers == [str(number) for number in range(1, 60)]
        assert sum(engine.resumed_streams for engine in running.engines.values()) == 1


class TestLeavingEndpoint:
    def test_gets_no_new_work(self, running):
        running.publish([running.make_engine("nordur-e1", leaving=True)])
        daemons = running.daemons.values()

        def knows_leaving_endpoint(daemon):
            endpoints = daemon.call_operator_api("GET", "/v1/endpoints")["endpoints"]
            return any(item["is_leaving"] for item in endpoints)

        for daemon in daemons:
            if daemon.data_centre == "nordur-a":
                await_true(
                    lambda d=daemon: knows_leaving_endpoint(d), PROPAGATION_TIMEOUT_S
                )
        before = len(running.engines["nordur-e1"].received)
        for daemon in daemons:
            for _ in range(10):
                assert daemon.request("POST", CHAT, make_chat())[0] == 200
        assert len(running.engines["nordur-e1"].received) == before


class TestDrain:
    def test_cuts_no_request_under_load(self, running):
        for engine in running.engines.values():
            engine.token_interval_s = 0.01
        stopping = threading.Event()
        answers = []
        callers = [
            threading.Thread(target=call_until, args=(running, stopping, answers))
            for _ in range(6)
        ]
        for caller in callers:
            caller.start()
        await_true(lambda: len(answers) > 20)
        assert running.daemons["n2"].stop() == 0
        count_before = len(answers)
        await_true(lambda: len(answers) > count_before + 20)
        stopping.set()
        for caller in callers:
            caller.join()
        assert set(answers) <= {"whole", "not run", "not connected"}
        assert answers.count("whole") > 20


def call_until(fleet, stopping, answers):
    while not stopping.is_set():
        for name in ("n2", "n1"):
            answers.append(call_once(fleet.daemons[name]))


def call_once(daemon):
    try:
        response = daemon.send("POST", CHAT, make_chat(tokens=10, stream=True))
    except ConnectionRefusedError:
        return "not connected"
    except (HTTPException, ConnectionError) as error:
        return f"cut before the answer: {error!r}"
    body = read_rest(response)
    if response.status != 200:
        return json.loads(body)["error"]["outcome"]
    return "whole" if body.endswith(b"data: [DONE]\n\n") else f"cut: {body[-300:]}"


class TestCrashingRequest:
    def test_is_stopped_fleet_wide_after_two_crashes(self, running):
        for engine in running.engines.values():
            engine.faults.crash_on = "poison"
        chat = make_chat(text="poison")
        daemons = [running.daemons[name] for name in ("n1", "n2", "s1")]
        for number in range(9):
            daemons[number % 3].request("POST", CHAT, chat)
        assert sum(engine.crashes for engine in running.engines.values()) <= 2
        answer = daemons[0].request("POST", CHAT, chat)
        assert find_code(answer) == "quarantined"
        assert daemons[0].request("POST", CHAT, make_chat())[0] == 200

    def test_with_a_shared_beginning_is_stopped_fleet_wide(self, running):
        for engine in running.engines.values():
            engine.faults.crash_on = "poison"
        daemons = [running.daemons[name] for name in ("n1", "n2", "s1")]
        system = {"role": "system", "content": "poison " * 400}
        for number in range(12):
            chat = make_chat(text=f"question {number}")
            chat["messages"].insert(0, system)
            daemons[number % 3].request("POST", CHAT, chat)
        assert sum(engine.crashes for engine in running.engines.values()) <= 5


class TestRacingOperators:
    def test_one_number_twice_ends_alike_everywhere(self, running):
        first = [make_organisation("racing", rate_tokens_per_s=1)]
        second = [make_organisation("racing", rate_tokens_per_s=2)]
        number = running.number + 1
        running.publish(first)
        running.number = number - 1
        running.publish(second)

        def states():
            return {
                daemon.call_operator_api("GET", "/v1/objects/organisation/racing").get(
                    "value"
                )
                for daemon in running.daemons.values()
            }

        await_true(lambda: None not in states() and len(states()) == 1)


class TestKeyUse:
    def test_request_runs_only_for_the_organisation_of_its_key(self, running):
        n1 = running.daemons["n1"]
        for _ in range(5):
            status, body = n1.request("POST", CHAT, make_chat(), key=OTHER_KEY)
            assert status == 200, (body, "".join(n1.lines))
            # The residency of the key's own organisation applies.
            assert json.loads(body)["endpoint"] == "sudur-e1"

    def test_order_number_of_another_organisation_is_refused(self, running):
        n1 = running.daemons["n1"]
        order = {"stay": "family-14"}
        answer = send_order(n1, issue(n1), order, key=OTHER_KEY)
        assert find_code(answer) == "order_number_invalid"
        assert count_runs(running, order) == 0

    def test_unknown_key_is_refused(self, running):
        answer = running.daemons["n1"].request("POST", CHAT, make_chat(), key=KEY + "x")
        assert find_code(answer) == "key_unknown"


class TestEngineCommands:
    def test_engine_follows_its_placement_through_a_crash(self, running):
        engine = running.engines["nordur-e1"]

        def place(version):
            placement = make(
                "placement",
                "p1",
                endpoint="nordur-e1",
                model="oriole",
                version=version,
            )
            running.publish([placement])
            return running.number

        first = place("1")
        await_true(lambda: first in engine.control.applied_tickets)
        engine.crash()
        await_true(lambda: first in engine.control.applied_tickets)
        second = place("2")
        await_true(lambda: second in engine.control.applied_tickets)
        assert engine.control.applied_tickets == sorted(engine.control.applied_tickets)
