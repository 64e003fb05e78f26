import functools
import http.client
import threading
import time

import pytest

from oriolepaddle.daemon.tests.edge_fleet import (
    DESK,
    HOST,
    KEY,
    EdgeFleet,
    make_document,
    make_route,
)

WORK_S = 1.2
GRACE_S = 5.0
REFUSE_AFTER_S = 0.8
INTERVAL_S = 0.25
GRACE = {"stop_grace_s": GRACE_S, "drain_refuse_s": REFUSE_AFTER_S}
CUT = "cut"


@pytest.fixture
def fleet():
    fleet = EdgeFleet()
    routes = [
        make_route("read", "/read/", "safe", DESK, sloMs=4000),
        make_route("book", "/book/", "unsafe", DESK, sloMs=4000, maxAttempts=1),
    ]
    fleet.publish(make_document(2, routes=routes))
    runner = fleet.add_runner("d1", DESK)
    runner.pause_s = WORK_S
    fleet.add_instance("n1", **GRACE)
    fleet.await_ready()
    yield fleet
    fleet.close()


def send_forwarded(fleet, name, path, **fields):
    """Send a request to an instance as another one does that forwards it."""
    host, port = fleet.settings[name].peer_address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    headers = {
        "Host": HOST,
        "Authorization": f"Token {KEY}",
        "X-Request-Hops": "s1",
        "X-Request-Age-Ms": "1",
        "X-Oriolepaddle-Request-Id": "9c41d07be2a35f68",
    }
    headers |= {field.replace("_", "-"): value for field, value in fields.items()}
    connection.request("GET", path, headers=headers)
    response = connection.getresponse()
    return response.status, response.read()


def send_during_stop(fleet, path, send, deadline_ms):
    """Send a request at short intervals while n1 stops; return the outcomes."""
    instance = fleet.instances["n1"]
    outcomes, threads = [], []

    def _send():
        try:
            status, _ = send("n1", path, X_Oriolepaddle_Deadline_Ms=str(deadline_ms))
        except ConnectionRefusedError:
            return
        except (http.client.HTTPException, OSError):
            status = CUT
        outcomes.append(status)

    def _stop():
        instance.stop()
        for server in instance._servers:
            server.drop_connections()

    stopping = threading.Thread(target=_stop)
    stopping.start()
    while stopping.is_alive():
        threads.append(threading.Thread(target=_send))
        threads[-1].start()
        time.sleep(INTERVAL_S)
    for thread in [*threads, stopping]:
        thread.join()
    return outcomes


class TestLateRequests:
    @pytest.mark.parametrize("is_forwarded", [False, True], ids=["new", "forwarded"])
    @pytest.mark.parametrize("path", ["/read/1", "/book/1"])
    def test_are_answered_or_refused_before_the_exit(self, fleet, path, is_forwarded):
        send = fleet.request
        if is_forwarded:
            send = functools.partial(send_forwarded, fleet)
        outcomes = send_during_stop(fleet, path, send, deadline_ms=3_000)
        assert set(outcomes) == {200, 503}
        assert outcomes.count(200) > REFUSE_AFTER_S / INTERVAL_S

    def test_that_outlast_the_grace_get_an_answer(self, fleet):
        fleet.runners["d1"].pause_s = 2 * GRACE_S
        outcomes = send_during_stop(fleet, "/book/1", fleet.request, 30_000)
        assert set(outcomes) == {503, 504}
