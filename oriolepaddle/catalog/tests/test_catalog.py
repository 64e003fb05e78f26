from datetime import timedelta

import attrs
import pytest

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

ENDPOINT = RegisteredEndpoint(
    "i-1", 5, "desk", "10.0.0.1:80", "nordur-a", 6, EndpointState.READY
)
KEY = "servers/i-1"
REGISTERED = CatalogChange(KEY, endpoint=ENDPOINT)
REMOVED = CatalogChange(KEY, is_removed=True)
EVACUATED = CatalogChange("op/evacuate/nordur-a", evacuated="nordur-a")
RETURNED = CatalogChange("op/evacuate/nordur-a", is_removed=True)


def make_document(version):
    return ConfigDocument(version, {}, {}, None, {}, CallerLimits(), b"")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def catalog(clock):
    catalog = Catalog(clock)
    catalog.apply(CatalogReading((), 1, is_whole=True), float("-inf"))
    return catalog


def apply(catalog, *changes, revision=1, is_whole=False, requested_at_s=0.0):
    catalog.apply(CatalogReading(changes, revision, is_whole), requested_at_s)


class TestDocument:
    def test_version_never_decreases(self, catalog):
        for version in (3, 7, 5):
            change = CatalogChange("op/config", document=make_document(version))
            apply(catalog, change)
        assert catalog.version == 7


class TestAge:
    def test_is_infinite_before_the_first_reading(self, catalog):
        assert catalog.age_s() == float("inf")

    def test_counts_from_the_request(self, catalog, clock):
        clock.advance(timedelta(seconds=5))
        apply(catalog, requested_at_s=2.0)
        assert catalog.age_s() == 3.0

    def test_older_confirmation_has_no_effect(self, catalog, clock):
        clock.advance(timedelta(seconds=5))
        apply(catalog, requested_at_s=4.0)
        catalog.confirm_version(1.0, 0)
        assert catalog.age_s() == 1.0

    def test_report_of_a_newer_version_does_not_confirm_this_one(self, catalog):
        catalog.confirm_version(0.0, 9)
        assert catalog.age_s() == float("inf")


class TestUnreadableDocument:
    # A document that can't be read may withdraw keys: it must not confirm the old one.
    UNREADABLE = CatalogChange("op/config", is_document_lost=True)
    READABLE = CatalogChange("op/config", document=make_document(4))

    @pytest.fixture
    def current(self, catalog):
        change = CatalogChange("op/config", document=make_document(3))
        apply(catalog, change, is_whole=True)
        return catalog

    @pytest.mark.parametrize("is_whole", [True, False])
    def test_does_not_confirm_the_document_before(self, current, clock, is_whole):
        clock.advance(timedelta(seconds=5))
        apply(current, self.UNREADABLE, is_whole=is_whole, requested_at_s=4.0)
        apply(current, requested_at_s=5.0)
        assert (current.version, current.age_s()) == (3, 5.0)

    def test_endpoints_are_still_confirmed(self, current, clock):
        clock.advance(timedelta(seconds=5))
        apply(current, self.UNREADABLE, REGISTERED, requested_at_s=4.0)
        assert current.endpoints_age_s() == 1.0
        assert current.may_send(ENDPOINT)

    def test_next_readable_one_is_confirmed(self, current, clock):
        clock.advance(timedelta(seconds=5))
        apply(current, self.UNREADABLE, requested_at_s=3.0)
        apply(current, self.READABLE, requested_at_s=4.0)
        assert (current.version, current.age_s()) == (4, 1.0)
        apply(current, requested_at_s=5.0)
        assert current.age_s() == 0.0


class TestEndpoints:
    def test_leaving_endpoint_gets_no_requests(self, catalog):
        apply(catalog, REGISTERED)
        assert catalog.may_send(ENDPOINT)
        leaving = attrs.evolve(ENDPOINT, state=EndpointState.LEAVING)
        apply(catalog, CatalogChange(KEY, endpoint=leaving))
        assert not catalog.may_send(ENDPOINT)

    def test_next_incarnation_is_another_endpoint(self, catalog):
        apply(catalog, REGISTERED)
        later = attrs.evolve(ENDPOINT, started_at_ms=6)
        apply(catalog, CatalogChange(KEY, endpoint=later))
        apply(catalog, REGISTERED)
        assert not catalog.may_send(ENDPOINT)
        assert catalog.may_send(later)

    def test_evacuated_data_centre_gets_no_requests(self, catalog):
        apply(catalog, REGISTERED, EVACUATED)
        assert not catalog.may_send(ENDPOINT)
        apply(catalog, RETURNED)
        assert catalog.may_send(ENDPOINT)

    def test_complete_reading_removes_missing_entries(self, catalog):
        apply(catalog, REGISTERED, EVACUATED)
        apply(catalog, is_whole=True)
        assert catalog.endpoints() == ()
        assert not catalog.is_evacuated("nordur-a")

    def test_removed_endpoint_is_dropped(self, catalog):
        apply(catalog, REGISTERED)
        apply(catalog, REMOVED)
        assert catalog.endpoints() == ()


class TestStoreRecovery:
    def test_expired_endpoint_is_retained_until_it_could_register(self, catalog, clock):
        apply(catalog, REGISTERED)
        catalog.record_store_recovery()
        apply(catalog, REMOVED)
        assert catalog.may_send(ENDPOINT)
        clock.advance(timedelta(seconds=2.3))
        assert catalog.endpoints() == ()

    def test_endpoint_that_registers_again_is_retained(self, catalog, clock):
        apply(catalog, REGISTERED)
        catalog.record_store_recovery()
        apply(catalog, REMOVED)
        apply(catalog, REGISTERED)
        clock.advance(timedelta(seconds=3))
        assert catalog.endpoints() == (ENDPOINT,)

    def test_leaving_endpoint_is_not_retained(self, catalog):
        leaving = attrs.evolve(ENDPOINT, state=EndpointState.LEAVING)
        apply(catalog, CatalogChange(KEY, endpoint=leaving))
        catalog.record_store_recovery()
        apply(catalog, REMOVED)
        assert catalog.endpoints() == ()


class TestSnapshot:
    def test_contains_endpoints_with_their_remaining_cold_time(self, catalog, clock):
        cold = attrs.evolve(ENDPOINT, cold_until_s=3.0)
        apply(catalog, CatalogChange(KEY, endpoint=cold), EVACUATED)
        clock.advance(timedelta(seconds=1))
        other_clock = ManualClock()
        other_clock.advance(timedelta(seconds=50))
        other = Catalog(other_clock)
        assert other.adopt(catalog.snapshot(), 50.0)
        assert other.endpoint("i-1").cold_until_s == 52.0
        assert other.is_evacuated("nordur-a")
        assert other.digest() == catalog.digest()

    def test_digest_depends_on_the_state(self, catalog):
        apply(catalog, REGISTERED)
        before = catalog.digest()
        leaving = attrs.evolve(ENDPOINT, state=EndpointState.LEAVING)
        apply(catalog, CatalogChange(KEY, endpoint=leaving))
        assert catalog.digest() != before

    def test_older_snapshot_is_not_adopted(self, catalog, clock):
        stale = Catalog(clock)
        apply(stale, REGISTERED, is_whole=True, requested_at_s=0.0)
        clock.advance(timedelta(seconds=5))
        apply(catalog, is_whole=True, requested_at_s=4.0)
        assert not catalog.adopt(stale.snapshot(), 5.0)
        assert catalog.endpoints() == ()

    def test_changes_requested_before_it_are_ignored(self, catalog, clock):
        """Guards against outdated changes: a watch is delayed, and a newer snapshot
        of a peer is adopted before its result is applied."""
        apply(catalog, is_whole=True)
        peer = Catalog(clock)
        clock.advance(timedelta(seconds=5))
        apply(peer, is_whole=True, requested_at_s=4.0)
        assert catalog.adopt(peer.snapshot(), 5.0)
        document = CatalogChange("op/config", document=make_document(3))
        apply(catalog, REGISTERED, document, requested_at_s=0.0)
        assert catalog.endpoints() == ()
        assert catalog.version == 3
        assert catalog.watch_revision is None

    def test_complete_reading_requested_before_it_is_ignored(self, catalog, clock):
        peer = Catalog(clock)
        clock.advance(timedelta(seconds=5))
        apply(peer, is_whole=True, requested_at_s=4.0)
        assert catalog.adopt(peer.snapshot(), 5.0)
        apply(catalog, REGISTERED, is_whole=True, requested_at_s=0.5)
        assert catalog.endpoints() == ()
        apply(catalog, REGISTERED, is_whole=True, requested_at_s=5.0)
        assert catalog.endpoints() == (ENDPOINT,)


class TestPeers:
    def test_are_needed_only_without_the_store(self, catalog, clock):
        assert catalog.needs_peer_snapshot()
        apply(catalog)
        assert not catalog.needs_peer_snapshot()
        clock.advance(timedelta(seconds=3))
        assert catalog.needs_peer_snapshot()
