from datetime import timedelta

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from oriolepaddle.catalog import HistoryGoneError
from oriolepaddle.clock import SystemClock
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.platform import PlatformStore
from oriolepaddle.platform.standins import RunnerStandin, StoreMode, StoreStandin

DOCUMENT = b'{"version": 3}'
NOW = timedelta(0)
ODD_ENTRIES = [
    b"[" * 100_000,
    b'{"slots": 1e999, "address": "10.0.0.1:80"}',
    b'{"version": 1e999, "routes": []}',
    b'{"service": "\\ud800", "address": "10.0.0.1:80"}',
]


@pytest.fixture
def standin():
    standin = StoreStandin()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def store(standin):
    return PlatformStore(standin.address, SystemClock())


@pytest.fixture
def entry():
    runner = RunnerStandin("i-1", "desk", "nordur-a")
    return runner.describe()


class TestReading:
    def test_returns_all_pages(self, standin, store, entry):
        standin.max_items = 3
        standin.put("op/config", DOCUMENT)
        for number in range(10):
            standin.put(f"servers/i-{number}", entry)
        reading = store.read()
        assert reading.is_whole
        endpoints = [item.endpoint for item in reading.changes if item.endpoint]
        assert {item.id for item in endpoints} == {f"i-{n}" for n in range(10)}

    def test_skips_invalid_and_unknown_entries(self, standin, store, entry):
        standin.put("servers/broken", b"\xff")
        standin.put("servers/i-1", entry)
        standin.put("unknown/key", b"{}")
        assert [item.key for item in store.read().changes] == ["servers/i-1"]

    @settings(
        derandomize=True,
        deadline=None,
        max_examples=60,
        suppress_health_check=[HealthCheck.function_scoped_fixture],
    )
    @given(odd=st.binary(max_size=60) | st.sampled_from(ODD_ENTRIES))
    def test_any_odd_entry_leaves_the_others_followed(self, standin, store, entry, odd):
        standin.put("servers/odd", odd)
        standin.put("op/config", odd)
        standin.put("servers/i-1", entry)
        keys = [item.key for item in store.read().changes if item.endpoint]
        assert keys == ["servers/i-1"]

    @pytest.mark.parametrize("odd", [b"", b"null", b"{}", b"\xff", *ODD_ENTRIES])
    def test_unreadable_configuration_is_told_from_an_absent_one(
        self, standin, store, odd
    ):
        assert store.read().changes == ()
        standin.put("op/config", odd)
        assert [item.is_document_lost for item in store.read().changes] == [True]

    @pytest.mark.parametrize("mode", [StoreMode.BUSY, StoreMode.RESET])
    def test_failure_is_a_typed_error(self, standin, store, mode):
        standin.mode = mode
        with pytest.raises(PlatformUnavailableError):
            store.read()


class TestWatching:
    def test_returns_changes_and_removals(self, standin, store, entry):
        revision = store.read().revision
        standin.put("servers/i-1", entry)
        standin.put("op/evacuate/nordur-a", b"{}")
        standin.delete("servers/i-1")
        reading = store.watch(revision, NOW)
        assert [item.is_removed for item in reading.changes] == [False, False, True]
        assert reading.changes[1].evacuated == "nordur-a"
        assert reading.revision == revision + 3

    def test_removed_configuration_is_lost(self, standin, store):
        standin.put("op/config", DOCUMENT)
        revision = store.read().revision
        standin.delete("op/config")
        changes = store.watch(revision, NOW).changes
        assert [item.is_document_lost for item in changes] == [True]

    def test_raises_an_error_when_the_history_is_gone(self, standin, store, entry):
        revision = store.read().revision
        standin.put("servers/i-1", entry)
        standin.forget_history()
        with pytest.raises(HistoryGoneError):
            store.watch(revision, NOW)


class TestEra:
    """The failure: nothing read how often the store had been restored."""

    def test_is_part_of_each_reading(self, standin, store):
        standin.put("op/config", DOCUMENT)
        reading = store.read()
        assert reading.era == 1
        assert store.watch(reading.revision, NOW).era == 1
        standin.restore(standin.copy())
        assert store.read().era == 2

    @pytest.mark.parametrize("text", [None, "", "x", "-1", "1.5", "9" * 30])
    def test_that_is_no_number_counts_as_absent(self, standin, store, text):
        standin.put("op/config", DOCUMENT)
        standin.era = text
        assert store.read().era is None

    def test_that_changes_between_two_pages_makes_them_worthless(
        self, standin, store, entry
    ):
        standin.max_items = 1
        for number in range(3):
            standin.put(f"servers/i-{number}", entry)
        answer = standin.handle

        def restore_once(request, writer):
            answer(request, writer)
            if standin.era == "1":
                standin.restore(standin.copy())

        standin.handle = restore_once
        with pytest.raises(PlatformUnavailableError):
            store.read()
        assert store.read().era == 2

    def test_watch_from_a_revision_that_is_gone_reads_everything(self, standin, store):
        copy = standin.copy()
        standin.put("op/config", DOCUMENT)
        revision = store.read().revision
        standin.restore(copy)
        with pytest.raises(HistoryGoneError):
            store.watch(revision, NOW)
