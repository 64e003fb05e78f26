"""Processor time of the steps of a caller's request."""

import random
from io import BytesIO

from werkzeug.test import create_environ
from werkzeug.wrappers import Request

from experiments.capacity.cpu import CpuTimeReader
from experiments.capacity.fixtures import (
    KEY,
    ORGANISATION,
    ROUTE,
    make_body,
    make_config,
    make_router,
    make_routing_request,
)
from experiments.capacity.series import Series, measure_us
from oriolepaddle.admission import Admission
from oriolepaddle.clock import ManualClock, SystemClock
from oriolepaddle.errors import EndpointFailedError
from oriolepaddle.gateway.authenticator import Authenticator
from oriolepaddle.gateway.forwarding import ForwardingSigner
from oriolepaddle.gateway.parser import RequestParser
from oriolepaddle.gateway.relay import AnswerRelay
from oriolepaddle.metrics import GatewayMetrics
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.quarantine import Quarantine, QuarantineSettings, make_fingerprint
from oriolepaddle.retries import Failure, RetryPolicy, RetrySettings
from oriolepaddle.routing.prefix import hash_prompt

__all__ = ["measure_traffic"]

ENDPOINTS = (10, 35, 71, 140)
CHARACTERS = (1_000, 4_000, 16_000, 64_000)
TOKENS = (100, 400, 1_600)
ORGANISATIONS = (100, 1_000, 10_000)
STEPS_PER_ROUND = 100
EVENT = b'data: {"id":"a","choices":[{"index":0,"delta":{"content":"word "}}]}\n\n'
HEAD = (("Content-Type", "text/event-stream"), ("X-Request-Id", "r"))


class CountingWriter:
    """An answer writer that discards the body and counts its bytes."""

    def __init__(self) -> None:
        self.is_started = False
        self.body_bytes = 0

    def start(self, *head: object) -> None:
        """Record that the answer has started."""
        self.is_started = True

    def write(self, data: bytes) -> None:
        """Count a chunk of the body."""
        self.body_bytes += len(data)

    def is_abandoned(self) -> bool:
        """Return False: the caller never disconnects."""
        return False


def measure_traffic(cpu: CpuTimeReader) -> dict[str, Series]:
    """Return a series for each step of a request."""
    steps = (
        ("choose", "routing choice", "endpoints", ENDPOINTS, _choose_us),
        ("admit", "admission enter and release", "endpoints", ENDPOINTS, _admit_us),
        ("parse", "parse and authenticate", "characters", CHARACTERS, _parse_us),
        ("hash", "hashes of the prefix", "characters", CHARACTERS, _hash_us),
        ("check", "fingerprint and quarantine", "bytes", CHARACTERS, _check_us),
        ("retry", "retry decision", "organisations", ORGANISATIONS, _retry_us),
        ("relay", "relay of a stream", "tokens", TOKENS, _relay_us),
    )
    return {
        name: Series.measure(
            task, size_name, "us", sizes, lambda size, cost=cost: cost(cpu, size)
        )
        for name, task, size_name, sizes, cost in steps
    }


def _choose_us(cpu: CpuTimeReader, endpoints: int) -> float:
    router = make_router(ManualClock(), make_config(endpoints))
    request = make_routing_request()
    return measure_us(cpu, lambda number: router.choose(request), STEPS_PER_ROUND)


def _admit_us(cpu: CpuTimeReader, endpoints: int) -> float:
    clock = SystemClock()
    router = make_router(clock, make_config(endpoints))
    admission = Admission(clock, lambda: router.concurrency_limit(ROUTE.id))

    def admit(number: int) -> None:
        """Admit one request."""
        deadline_s = clock.monotonic_s() + 100.0
        admission.enter(ORGANISATION.id, 1.0, 1_000, 227, deadline_s).release()

    return measure_us(cpu, admit, STEPS_PER_ROUND)


def _make_request(body: bytes) -> Request:
    environ = create_environ(
        "/v1/chat/completions",
        method="POST",
        input_stream=BytesIO(body),
        headers={
            "Authorization": f"Bearer {KEY}",
            "Content-Length": str(len(body)),
            "Content-Type": "application/json",
        },
    )
    environ["oriolepaddle.request_id"] = "r"
    return Request(environ)


def _make_parser() -> RequestParser:
    config = make_config(1)
    signer = ForwardingSigner(b"secret", "instance-0")
    return RequestParser(config, Authenticator(config), ManualClock(), signer)


def _parse_us(cpu: CpuTimeReader, characters: int) -> float:
    parser, body = _make_parser(), make_body(characters)
    # The body of a request can be read only once, so each step needs its own.
    requests = [_make_request(body) for _ in range(3 * STEPS_PER_ROUND)]
    return measure_us(
        cpu, lambda number: parser.parse(requests[number]), STEPS_PER_ROUND
    )


def _hash_us(cpu: CpuTimeReader, characters: int) -> float:
    text = "word " * (characters // 5)
    return measure_us(cpu, lambda number: hash_prompt(text), STEPS_PER_ROUND)


def _check_us(cpu: CpuTimeReader, characters: int) -> float:
    body = make_body(characters)
    identity = PeerIdentity("instance-0", 1, "dc0")
    quarantine = Quarantine(ManualClock(), QuarantineSettings(), identity)

    def check(number: int) -> None:
        """Check one request, then start and finish its run."""
        fingerprint = make_fingerprint("POST", "/v1/chat/completions", body)
        quarantine.check(fingerprint)
        quarantine.advise_start(fingerprint, "e")
        quarantine.start_run(fingerprint, "e").finish()

    return measure_us(cpu, check, STEPS_PER_ROUND)


def _retry_us(cpu: CpuTimeReader, organisations: int) -> float:
    policy = RetryPolicy(ManualClock(), RetrySettings(), random.Random(1))
    for number in range(organisations):
        policy.record_success(f"organisation-{number}", "e")

    def decide(number: int) -> None:
        """Make the retry decision for one failure."""
        name = f"organisation-{number % organisations}"
        error = EndpointFailedError("connection lost")
        policy.decide(Failure(error, 1, name, "e", True, 0, 1e9, False))
        policy.record_success(name, "e")

    return measure_us(cpu, decide, 10 * STEPS_PER_ROUND)


def _relay_us(cpu: CpuTimeReader, tokens: int) -> float:
    config = make_config(1)
    request = _make_parser().parse(_make_request(make_body(1_000)))
    authenticator, metrics = Authenticator(config), GatewayMetrics()

    def relay(number: int) -> None:
        """Relay one answer."""
        relay = AnswerRelay(
            SystemClock(),
            request,
            CountingWriter(),
            authenticator,
            metrics,
            lambda: None,
        )
        relay.begin(lambda: None)
        relay.on_head(200, HEAD)
        for _ in range(tokens):
            relay.check()
            relay.on_data(EVENT)

    return measure_us(cpu, relay, 20)
