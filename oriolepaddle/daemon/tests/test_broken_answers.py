"""Endpoints whose answers break HTTP, behind daemons that are processes."""

import itertools
import json

import pytest

from oriolepaddle.daemon.tests.broken_endpoint import BREAKS, BrokenEndpoint
from oriolepaddle.daemon.tests.fleet import Fleet, await_true
from oriolepaddle.endpoints.tests.broken_answers import (
    BROKEN_CHUNKS,
    BROKEN_LENGTHS,
    BROKEN_LINES,
    BROKEN_NAMES,
    EARLY,
    SOUND,
    STATUS_000,
)

PATH = "/services/visit-desk/visits"
UPLOAD_TEXT = "x" * 3_000_000
INSTANCES = {"direct": "n1", "forwarded": "s1"}
_numbers = itertools.count(1)


class BrokenDeskFleet(Fleet):
    """A fleet whose only endpoint of the service is broken."""

    def __init__(self):
        super().__init__()
        self.broken_desk = BrokenEndpoint()
        routes = ["visit-desk"]
        self.publish([self.make_endpoint("desk", "nordur-a", self.broken_desk, routes)])

    def send(self, name, text=""):
        """Send a new request until it isn't refused as not run.

        Returns:
            The response and its body.
        """
        # One that has broken endpoints before would be rejected.
        document = f"{next(_numbers)} {text}"

        def send_once():
            response = self.daemons[name].send("POST", PATH, document)
            body = response.read()
            return response.status != 503 and (response, body)

        return await_true(send_once)

    def close(self):
        super().close()
        self.broken_desk.close()


@pytest.fixture(scope="module")
def fleet():
    fleet = BrokenDeskFleet()
    try:
        yield fleet.start(n1="nordur-a", s1="sudur-a")
    finally:
        fleet.close()


def check_failed(response, body):
    assert response.status == 502, body
    assert response.getheader("Retry-After") is None
    assert json.loads(body)["error"]["outcome"] == "unknown"


@pytest.mark.parametrize("path", INSTANCES)
class TestBrokenHead:
    """The failure: a head that is not HTTP came with an answer taken as complete."""

    @pytest.mark.parametrize("name", BROKEN_LENGTHS)
    def test_that_tells_no_length_fails_the_request(self, fleet, name, path):
        fleet.broken_desk.set_answer(BROKEN_LENGTHS[name])
        check_failed(*fleet.send(INSTANCES[path]))
        assert fleet.broken_desk.requests == 1

    @pytest.mark.parametrize("name", BROKEN_LINES)
    def test_with_a_line_that_is_no_field_fails_the_request(self, fleet, name, path):
        fleet.broken_desk.set_answer(BROKEN_LINES[name])
        check_failed(*fleet.send(INSTANCES[path]))
        assert fleet.broken_desk.requests == 1

    @pytest.mark.parametrize("name", BROKEN_NAMES)
    def test_with_a_broken_name_fails_the_request(self, fleet, name, path):
        fleet.broken_desk.set_answer(BROKEN_NAMES[name])
        check_failed(*fleet.send(INSTANCES[path]))
        assert fleet.broken_desk.requests == 1


@pytest.mark.parametrize("path", INSTANCES)
class TestBrokenChunks:
    """The failure: chunks whose framing is not HTTP were taken as a body."""

    @pytest.mark.parametrize("name", BROKEN_CHUNKS)
    def test_fail_the_request(self, fleet, name, path):
        fleet.broken_desk.set_answer(BROKEN_CHUNKS[name])
        check_failed(*fleet.send(INSTANCES[path]))
        assert fleet.broken_desk.requests == 1


@pytest.mark.parametrize("path", INSTANCES)
class TestStatus000:
    """The failure: an answer whose status is none reached the caller."""

    def test_fails_the_request(self, fleet, path):
        fleet.broken_desk.set_answer(STATUS_000)
        check_failed(*fleet.send(INSTANCES[path]))


@pytest.mark.parametrize("path", INSTANCES)
class TestEarlyAnswer:
    """The failure: a part of an answer to a long upload was taken as complete."""

    @pytest.mark.parametrize("ending", BREAKS)
    @pytest.mark.parametrize("name", EARLY)
    def test_without_a_length_that_breaks_fails_the_request(
        self, fleet, name, ending, path
    ):
        fleet.broken_desk.set_answer(EARLY[name], ending)
        check_failed(*fleet.send(INSTANCES[path], UPLOAD_TEXT))
        assert fleet.broken_desk.requests == 1


@pytest.mark.parametrize("path", INSTANCES)
class TestSoundAnswer:
    """The failure: a sound answer of a rare form is rejected."""

    @pytest.mark.parametrize("name", SOUND)
    def test_reaches_the_caller(self, fleet, name, path):
        fleet.broken_desk.set_answer(SOUND[name])
        response, body = fleet.send(INSTANCES[path])
        assert response.status == 200, body
        assert body.startswith(b"abc")
