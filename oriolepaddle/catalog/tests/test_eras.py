from datetime import timedelta

import pytest
from hypothesis import given, strategies as st

from oriolepaddle.catalog import (
    CallerLimits,
    Catalog,
    CatalogChange,
    CatalogReading,
    ConfigDocument,
    EndpointState,
    RegisteredEndpoint,
)
from oriolepaddle.clock import ManualClock

CONFIGURATION_KEY = "op/config"
GRACE_S = 2.2


def make_document(version, keys=()):
    return CatalogChange(
        CONFIGURATION_KEY,
        document=ConfigDocument(
            version, {}, {}, None, dict.fromkeys(keys), CallerLimits(), b""
        ),
    )


def make_endpoint(name="e1", state=EndpointState.READY, started_at_ms=1):
    endpoint = RegisteredEndpoint(
        name, started_at_ms, "desk", "10.0.0.1:80", "nordur-a", 6, state
    )
    return CatalogChange(f"servers/{name}", endpoint=endpoint)


def make_evacuation():
    return CatalogChange("op/evacuate/nordur-a", evacuated="nordur-a")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def catalog(clock):
    return Catalog(clock)


@pytest.fixture
def read(catalog, clock):
    def _read(*changes, revision=10, era=1, is_whole=True):
        reading = CatalogReading(tuple(changes), revision, is_whole, era)
        catalog.apply(reading, clock.monotonic_s())

    return _read


class TestEra:
    """The failure: a change written after a restoration was never read."""

    def test_that_rises_has_everything_read_again(self, catalog, read):
        read(make_document(1), revision=11)
        read(revision=15, era=2, is_whole=False)
        assert catalog.watch_revision is None
        read(make_document(2), revision=15, era=2)
        assert (catalog.version, catalog.watch_revision) == (2, 15)

    def test_that_rises_confirms_nothing_before_the_whole_reading(
        self, catalog, clock, read
    ):
        read(make_document(1))
        clock.advance(timedelta(seconds=1))
        read(make_document(1), era=2, is_whole=False)
        assert catalog.age_s() == 1

    def test_of_an_earlier_copy_changes_and_confirms_nothing(
        self, catalog, clock, read
    ):
        read(make_document(2), era=2)
        clock.advance(timedelta(seconds=1))
        read(make_document(3), make_endpoint(), era=1, revision=99)
        assert (catalog.version, catalog.watch_revision) == (2, 10)
        assert catalog.age_s() == 1
        assert catalog.endpoints() == ()

    def test_that_is_absent_is_followed_as_before(self, catalog, read):
        read(make_document(1), era=None)
        read(make_document(2), era=None, revision=12, is_whole=False)
        assert (catalog.version, catalog.watch_revision) == (2, 12)
        assert catalog.era is None

    def test_that_appears_has_everything_read_again(self, catalog, read):
        read(make_document(1), era=None)
        read(revision=12, era=1, is_whole=False)
        assert catalog.watch_revision is None

    def test_that_stays_is_watched_on(self, catalog, read):
        read(make_document(1))
        read(make_document(2), revision=12, is_whole=False)
        assert (catalog.version, catalog.watch_revision) == (2, 12)


class TestOlderConfiguration:
    """The failure: an older configuration confirmed the newer one as current."""

    def test_of_a_copy_doesnt_confirm_the_known_one(self, catalog, clock, read):
        read(make_document(2))
        clock.advance(timedelta(seconds=1))
        read(make_document(1), era=2)
        read(revision=12, era=2, is_whole=False)
        assert (catalog.version, catalog.age_s()) == (2, 1)
        read(make_document(2), revision=13, era=2, is_whole=False)
        assert catalog.age_s() == 0

    def test_of_a_copy_without_any_doesnt_confirm_the_known_one(
        self, catalog, clock, read
    ):
        read(make_document(2))
        clock.advance(timedelta(seconds=1))
        read(era=2)
        assert catalog.age_s() == 1

    def test_of_a_peer_doesnt_confirm_the_known_one(self, catalog, clock, read):
        read(make_document(2))
        clock.advance(timedelta(seconds=1))
        catalog.confirm_version(clock.monotonic_s(), 1)
        assert catalog.age_s() == 1
        catalog.confirm_version(clock.monotonic_s(), 2)
        assert catalog.age_s() == 0


class TestEndpointsOfACopy:
    """The failure: an old entry put an endpoint into use that had left."""

    def test_that_leave_stay_leaving(self, catalog, read):
        read(make_endpoint(state=EndpointState.LEAVING))
        read(make_endpoint(), era=2)
        (endpoint,) = catalog.endpoints()
        assert not catalog.may_send(endpoint)

    def test_that_have_left_stay_away_until_they_register(self, catalog, read):
        read(make_endpoint())
        removal = CatalogChange("servers/e1", is_removed=True)
        read(removal, revision=11, is_whole=False)
        read(make_endpoint(), era=2)
        assert catalog.endpoints() == ()
        read(make_endpoint(), revision=12, era=2, is_whole=False)
        assert len(catalog.endpoints()) == 1

    def test_that_are_missing_stay_until_the_grace_ends(self, catalog, clock, read):
        read(make_endpoint("e1"), make_endpoint("e2"))
        read(make_endpoint("e1"), era=2)
        assert len(catalog.endpoints()) == 2
        clock.advance(timedelta(seconds=GRACE_S))
        assert [item.id for item in catalog.endpoints()] == ["e1"]

    def test_of_a_later_start_are_used(self, catalog, read):
        read(make_endpoint(started_at_ms=1))
        read(make_endpoint(started_at_ms=2), era=2)
        (endpoint,) = catalog.endpoints()
        assert endpoint.started_at_ms == 2


class TestEvacuationThatACopyLacks:
    """The failure: a data centre was used again as its evacuation was lost."""

    def test_holds_until_everything_is_read_again(self, catalog, clock, read):
        read(make_evacuation())
        read(era=2)
        assert catalog.is_evacuated("nordur-a")
        assert catalog.watch_revision == 10
        clock.advance(timedelta(seconds=GRACE_S))
        assert catalog.watch_revision is None
        read(era=2)
        assert not catalog.is_evacuated("nordur-a")
        assert catalog.watch_revision == 10


class TestReadingsInAnyOrder:
    """The failure: a late reading of an earlier era undid a later one."""

    READINGS = st.lists(
        st.tuples(st.integers(1, 4), st.integers(1, 6), st.booleans()), max_size=20
    )

    @given(READINGS)
    def test_end_as_the_newest_version_of_the_newest_era(self, readings):
        clock = ManualClock()
        catalog = Catalog(clock)
        newest, last_era = 0, 0
        for era, version, is_whole in readings:
            clock.advance(timedelta(milliseconds=10))
            was_watching = catalog.watch_revision is not None
            reading = CatalogReading((make_document(version),), 10, is_whole, era)
            counts = era >= last_era and (is_whole or era == last_era or not last_era)
            catalog.apply(reading, clock.monotonic_s())
            last_era = max(last_era, era)
            if counts:
                newest = max(newest, version)
            assert catalog.version == newest
            if catalog.age_s() == 0:
                assert counts and version == newest
            if not was_watching and not is_whole:
                assert catalog.watch_revision is None
        final = 7
        reading = CatalogReading((make_document(final),), 10, True, 5)
        catalog.apply(reading, clock.monotonic_s())
        assert (catalog.version, catalog.watch_revision) == (final, 10)
        assert catalog.age_s() == 0
