import pytest
from hypothesis import given, strategies as st

from oriolepaddle.platform.load import LoadReader
from oriolepaddle.signals import ReportedLoad


def read(*values):
    fields = tuple(("x-oriolepaddle-server-load", value) for value in values)
    return LoadReader().read(fields)


class TestLoadReader:
    @pytest.mark.parametrize(
        ("value", "expected"),
        [
            ("3,1,8", ReportedLoad(3, 1, 8)),
            ("3,1,8,100", ReportedLoad(3, 1, 8, 100.0)),
            (" 0, 0, 6, 249.5 ", ReportedLoad(0, 0, 6, 249.5)),
        ],
    )
    def test_reads_three_or_four_figures(self, value, expected):
        assert read(value) == expected

    @pytest.mark.parametrize(
        "value",
        [
            "",
            "3,1",
            "3,1,8,",
            "3,1,8,0",
            "3,1,8,nan",
            "3,1,8,-5",
            "3,1,8,100001",
            "3,1,8,100,1",
            "3,1,8,1e2",
            "-1,0,8,100",
            "3,1,8,\u0661\u0660\u0660",
            "9999999,0,8",
        ],
    )
    def test_ignores_invalid_values(self, value):
        """A false figure would make an endpoint look idle, or stop a comparison."""
        assert read(value) is None

    def test_ignores_a_repeated_field(self):
        assert read("3,1,8,100", "3,1,8,200") is None

    @given(st.text())
    def test_never_raises_and_is_in_range(self, value):
        load = read(value)
        assert load is None or load.pace is None or 1 <= load.pace <= 100_000

    def test_log_lines_are_bounded(self, monkeypatch):
        """Each response of an endpoint may carry an invalid value."""
        events = []
        monkeypatch.setattr(
            "oriolepaddle.platform.load.log_event",
            lambda event, **fields: events.append(fields["ignored"]),
        )
        reader = LoadReader()
        for _ in range(100):
            reader.read((("X-Oriolepaddle-Server-Load", "x"),))
        assert events == [1, 2, 4, 8, 16, 32, 64]
