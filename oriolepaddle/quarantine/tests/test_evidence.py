import json

import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.quarantine import (
    ConnectionEnd,
    CrashEvidence,
    HealthAnswer,
    make_fingerprint,
)

CASES = [
    ("reset", "refused", "1", None, True),
    ("reset", "answered", "1", "2", True),
    ("reset", "answered", "1", "1", False),
    ("reset", "answered", None, None, False),
    ("reset", "not_asked", "1", None, True),
    ("reset", "silent", "1", None, True),
    ("silent", "silent", "1", None, False),
    ("silent", "not_asked", None, None, False),
    ("silent", "answered", "1", "1", False),
    ("silent", "answered", "1", "2", True),
    ("silent", "refused", "1", None, True),
    ("cancelled", "refused", "1", "2", False),
]


class TestCrashEvidence:
    @pytest.mark.parametrize(
        ("connection", "health", "before", "after", "is_crash"), CASES
    )
    def test_is_crash(self, connection, health, before, after, is_crash):
        evidence = CrashEvidence(
            ConnectionEnd(connection), HealthAnswer(health), before, after
        )
        assert evidence.is_crash is is_crash


def fingerprint(body, method="POST", path="/v1/chat"):
    return make_fingerprint(method, path, body)


class TestFingerprint:
    @pytest.mark.parametrize(
        "body",
        [
            b'{"b": [1, 2], "a": "x"}',
            b'{"a":"x","b":[1,2],"request_id":"7","timestamp":9}',
        ],
    )
    def test_repeat_is_the_same(self, body):
        assert fingerprint(body) == fingerprint(b'{"a":"x","b":[1,2]}')

    @pytest.mark.parametrize(
        "other",
        [
            fingerprint(b'{"a":"y"}'),
            fingerprint(b'{"a":"x","c":1}'),
            fingerprint(b'{"a":"x","b":{"user":1}}'),
            fingerprint(b'{"a":"x"}', method="PUT"),
            fingerprint(b'{"a":"x"}', path="/v1/chat/"),
            fingerprint(b"not json"),
        ],
    )
    def test_other_request_differs(self, other):
        assert fingerprint(b'{"a":"x"}') != other

    @pytest.mark.parametrize(
        "body", [b"", b"[" * 100_000, b"\xff\xfe", b'{"a":' + b"9" * 5000 + b"}"]
    )
    def test_other_bodies_have_a_fingerprint(self, body):
        assert len(fingerprint(body)) == 16

    @given(st.dictionaries(st.text(), st.integers() | st.text() | st.floats()))
    @settings(derandomize=True, deadline=None)
    def test_order_of_fields_is_ignored(self, value):
        reversed_value = dict(reversed(value.items()))
        assert fingerprint(json.dumps(value).encode()) == fingerprint(
            json.dumps(reversed_value, indent=1).encode()
        )
