"""Endpoints that end, and instances that run requests at them, for tests."""

from types import SimpleNamespace

from oriolepaddle.catalog import EndpointState, RegisteredEndpoint
from oriolepaddle.crashes import CrashRegister
from oriolepaddle.edge import AnswerKind, EdgeRequest, EndpointAnswer
from oriolepaddle.edge.crash_guard import CrashGuard
from oriolepaddle.errors import (
    AnswerTruncatedError,
    EndpointFailedError,
    EndpointReplacedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
)
from oriolepaddle.placement import PromptPart

RUNS = 12
MAX_RUNS = 3
"""Endpoints that one request may crash before it is refused everywhere."""
ANSWER = EndpointAnswer(AnswerKind.RAN, 200, (), is_stream=True)
FAILED = EndpointFailedError("connection reset")
TRUNCATED = AnswerTruncatedError("the answer broke off")
REPLACED = EndpointReplacedError("another endpoint listens on the address")
UNREACHABLE = EndpointUnreachableError("connection failed")
SILENT = EndpointTimeoutError("no first byte of the answer within 2.0 s")
PARTS = (PromptPart("5c1e", 700), PromptPart("a1", 100))


def make_sink(answer=None, events=0):
    return SimpleNamespace(is_sent=True, answer=answer, events=events)


STAGES = {
    "before an answer": (FAILED, make_sink()),
    "inside the head": (TRUNCATED, make_sink()),
    "before an event": (TRUNCATED, make_sink(ANSWER)),
    "after an event": (TRUNCATED, make_sink(ANSWER, events=1)),
}


class Endpoints:
    """Endpoints of which each runs one request and crashes, or is cut off."""

    def __init__(self, refuses_connections=True):
        self.refuses_connections = refuses_connections
        self.count = 0
        self.replaced = set()
        self.leaving = set()

    def add(self):
        self.count += 1
        return RegisteredEndpoint(
            f"e{self.count}", 1, "s", "127.0.0.1:9", "a", 6, EndpointState.READY
        )

    def find_end(self, endpoint):
        return None if endpoint.id in self.leaving else endpoint.id in self.replaced

    def is_replaced(self, endpoint):
        return False

    def may_send(self, endpoint):
        return True

    def has_ended(self, endpoint):
        return self.refuses_connections


class Instance:
    def __init__(self, clock, endpoints):
        self.crashes = CrashRegister(clock)
        self.context = SimpleNamespace(
            clock=clock, crashes=self.crashes, catalog=endpoints, liveness=endpoints
        )

    def start(self, request):
        guard = CrashGuard(self.context, request, "s", lambda: None)
        guard.check()
        guard.start_attempt(self.context.clock.monotonic_s())
        return guard


def make_request(number=0, parts=(), **changes):
    values = {
        "id": f"9c41d07be2a3{number:04x}",
        "method": "POST",
        "host": "h",
        "path": "/a",
        "target": "/a",
        "headers": (),
        "body": b"body",
        "key": "k",
        "arrived_s": 0.0,
        "parts": parts,
    }
    return EdgeRequest(**(values | changes))


def exchange_reports(instances):
    for sender in instances:
        for receiver in instances:
            if sender is not receiver:
                receiver.crashes.merge(sender.crashes.select_to_send(), "peer")


def break_off(guard, endpoints, stage):
    error, sink = STAGES[stage]
    endpoint = endpoints.add()
    if sink.events:
        guard.record_first_event(endpoint, 0.0)
    guard.record_failure(endpoint, sink, error)
    guard.end_attempt()
