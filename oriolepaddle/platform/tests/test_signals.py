import pytest
from hypothesis import given, strategies as st

from oriolepaddle.platform.signals import read_signals


class TestLimit:
    @pytest.mark.parametrize(
        ("value", "expected"),
        [
            ("1", 1.0),
            ("0", 0.0),
            ("0.3", 0.3),
            (" 12.50 ", 12.5),
            ("1.6666666666666667", 5 / 3),
            ("0." + "3" * 40, 1 / 3),
        ],
    )
    def test_is_a_decimal_number(self, value, expected):
        assert read_signals(200, (("server-limit", value),)).limit_per_s == expected

    @pytest.mark.parametrize(
        "value",
        [
            "",
            "nan",
            "inf",
            "-1",
            "1e300",
            "1e3",
            "9" * 400,
            "1,2",
            "\u0661",
            ".5",
            "+1",
            "0\x1f",
        ],
    )
    def test_that_is_no_decimal_number_is_ignored(self, value):
        assert read_signals(200, (("Server-Limit", value),)).limit_per_s is None

    def test_that_is_named_twice_is_ignored(self):
        headers = (("Server-Limit", "1"), ("server-limit", "2"))
        assert read_signals(200, headers).limit_per_s is None

    @given(st.text())
    def test_is_never_negative_and_bounded(self, value):
        limit = read_signals(200, (("Server-Limit", value),)).limit_per_s
        assert limit is None or 0 <= limit < 1e9


class TestLeaving:
    @pytest.mark.parametrize("headers", [("1",), (" 1 ",), ("1", "1")])
    def test_is_said_by_a_one(self, headers):
        fields = tuple(("Server-Leaving", value) for value in headers)
        assert read_signals(200, fields).is_leaving

    @pytest.mark.parametrize("headers", [(), ("0",), ("",), ("true",), ("1", "0")])
    def test_is_not_said_by_anything_else(self, headers):
        fields = tuple(("Server-Leaving", value) for value in headers)
        assert not read_signals(200, fields).is_leaving


class TestRetryAfter:
    @pytest.mark.parametrize(
        ("status", "value", "expected"),
        [
            (503, "2", 2.0),
            (503, "0.25", 0.25),
            (503, "1.3333333333333333", 1.333333),
            (200, "2", None),
            (429, "2", None),
        ],
    )
    def test_is_a_time_in_a_refusal(self, status, value, expected):
        found = read_signals(status, (("Retry-After", value),)).retry_after
        assert (found and found.total_seconds()) == expected

    @pytest.mark.parametrize("value", ["soon", "-1", "nan", "1e9", "9" * 20])
    def test_that_is_no_decimal_number_is_ignored(self, value):
        assert read_signals(503, (("Retry-After", value),)).retry_after is None
