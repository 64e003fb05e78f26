import json

import pytest
from werkzeug.test import EnvironBuilder
from werkzeug.wrappers import Request

from oriolepaddle.clock import ManualClock
from oriolepaddle.config import ConfigState, parse_ticket
from oriolepaddle.gateway import Authenticator
from oriolepaddle.gateway.forwarding import ForwardingSigner
from oriolepaddle.gateway.parser import RequestParser
from oriolepaddle.standins import make_key, make_object

KEY = "key-of-norddal"
SECRET = b"a secret of the tests"


def make_request(method="POST", path="/v1/chat/completions", data=b"", headers=()):
    if not isinstance(data, bytes):
        data = json.dumps(data).encode()
    builder = EnvironBuilder(path, method=method, data=data, headers=dict(headers))
    environ = builder.get_environ()
    environ["oriolepaddle.request_id"] = "request-1"
    environ["REQUEST_URI"] = path
    return Request(environ)


def make_chat(**changes):
    messages = [{"role": "user", "content": "When does the bus leave?"}]
    return {"model": "oriole-answers", "messages": messages} | changes


def make_config():
    config = ConfigState()
    objects = [
        make_object("organisation", "norddal", rate_tokens_per_s=1, burst_tokens=1),
        make_key("k1", "norddal", KEY),
        make_object("route", "oriole-answers", kind="model"),
        make_object("route", "visit-desk", kind="service"),
        make_object("route", "timetable", kind="service", open=True),
    ]
    document = {"number": 1, "objects": objects}
    config.merge(parse_ticket(json.dumps(document)).entries)
    return config


def make_parser(config):
    signer = ForwardingSigner(SECRET, "n1")
    return RequestParser(config, Authenticator(config), ManualClock(), signer)


@pytest.fixture
def config():
    return make_config()


@pytest.fixture
def parser(config):
    return make_parser(config)
