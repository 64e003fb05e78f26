import pytest
from hypothesis import given, strategies as st

from oriolepaddle.platform.signals import read_signals


class TestLimit:
    @pytest.mark.parametrize(
        ("value", "expected"), [("1", 1.0), ("0", 0.0), ("0.3", 0.3), (" 12.50 ", 12.5)]
    )
    def test_is_a_decimal_number(self, value, expected):
        assert read_signals((("server-limit", value),)).limit_per_s == expected

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
        assert read_signals((("Server-Limit", value),)).limit_per_s is None

    def test_that_is_named_twice_is_ignored(self):
        headers = (("Server-Limit", "1"), ("server-limit", "2"))
        assert read_signals(headers).limit_per_s is None

    @given(st.text())
    def test_is_never_negative_and_bounded(self, value):
        limit = read_signals((("Server-Limit", value),)).limit_per_s
        assert limit is None or 0 <= limit < 1e9


class TestLeaving:
    @pytest.mark.parametrize("headers", [("1",), (" 1 ",), ("1", "1")])
    def test_is_said_by_a_one(self, headers):
        fields = tuple(("Server-Leaving", value) for value in headers)
        assert read_signals(fields).is_leaving

    @pytest.mark.parametrize("headers", [(), ("0",), ("",), ("true",), ("1", "0")])
    def test_is_not_said_by_anything_else(self, headers):
        fields = tuple(("Server-Leaving", value) for value in headers)
        assert not read_signals(fields).is_leaving
