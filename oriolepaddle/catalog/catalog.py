"""The catalog of routes, keys and endpoints of an instance."""

import threading
from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs
import xxhash

from oriolepaddle.catalog.document import ConfigDocument
from oriolepaddle.catalog.endpoint import EndpointState, RegisteredEndpoint
from oriolepaddle.catalog.snapshot import CatalogSnapshot
from oriolepaddle.catalog.source import CatalogChange, CatalogReading
from oriolepaddle.clock import Clock
from oriolepaddle.logs import log_event

__all__ = ["Catalog"]

RECOVERY_GRACE = timedelta(seconds=2.2)
"""Time after an outage of the store for which endpoints whose entries expired during
it are retained; live endpoints register again within about two seconds."""

MAX_DEPARTED = 1024
"""Incarnations that are remembered as gone, of which the oldest are forgotten."""

MAX_STORE_READING_AGE = timedelta(seconds=2.5)
"""Age of the last reading of the store above which snapshots of peers are accepted;
twice the sum of the longest watch and the pause after it."""


class Catalog:
    """The newest document, the endpoints and the evacuated data centres.

    The version of the document never decreases. Thread-safe; readers get immutable
    values.

    Args:
        clock: The source of time, for the age of the data.
        is_leaving: Returns whether an incarnation has said in an answer that it leaves,
            which its entry may not show yet.
    """

    def __init__(
        self, clock: Clock, is_leaving: Callable[[str], bool] = lambda name: False
    ) -> None:
        self._clock = clock
        self._is_leaving = is_leaving
        self._lock = threading.Lock()
        self._document: ConfigDocument | None = None
        # The store holds a configuration that this instance doesn't know.
        self._is_document_lost = False
        self._era: int | None = None
        # Until the first whole reading of an era that began with an older copy.
        self._is_restored = False
        self._reread_at_s = float("inf")
        self._stored_version = 0
        self._departed: dict[str, None] = {}
        self._endpoints: dict[str, RegisteredEndpoint] = {}
        self._pending_removals: dict[str, float] = {}
        self._evacuated: dict[str, str] = {}
        self._watch_revision: int | None = None
        self._confirmed_at_s = float("-inf")
        self._endpoints_confirmed_at_s = float("-inf")
        self._last_read_at_s = float("-inf")
        self._removal_grace_until_s = float("-inf")

    @property
    def document(self) -> ConfigDocument | None:
        """The current configuration, or None before the first was read."""
        return self._document

    @property
    def version(self) -> int:
        """The version of the current configuration, 0 before the first."""
        return self._document.version if self._document else 0

    @property
    def era(self) -> int | None:
        """How often the store has been restored from a copy, None if not known."""
        return self._era

    def age_s(self) -> float:
        """Return the seconds since the configuration was last confirmed as current."""
        return self._clock.monotonic_s() - self._confirmed_at_s

    def endpoints_age_s(self) -> float:
        """Return the seconds since the endpoints were last confirmed as complete."""
        return self._clock.monotonic_s() - self._endpoints_confirmed_at_s

    def needs_peer_snapshot(self) -> bool:
        """Return whether endpoints are to be fetched from peers.

        This is so while this instance doesn't read the store, because it isn't
        meant to or because the store is unavailable.
        """
        reading_age_s = self._clock.monotonic_s() - self._last_read_at_s
        return reading_age_s > MAX_STORE_READING_AGE.total_seconds()

    @property
    def endpoints_confirmed_at_s(self) -> float:
        """Monotonic time at which the endpoints were last confirmed as complete."""
        return self._endpoints_confirmed_at_s

    @property
    def watch_revision(self) -> int | None:
        """The revision from which to watch, or None if everything is to be read."""
        if self._clock.monotonic_s() >= self._reread_at_s:
            return None
        return self._watch_revision

    def reset_watch_revision(self) -> None:
        """Reset the revision, so that everything is read again."""
        with self._lock:
            self._watch_revision = None

    def confirm_version(self, requested_at_s: float, version: int) -> None:
        """Record that a version was the newest at a given time, reported by a peer.

        Args:
            requested_at_s: The time, on this instance's monotonic clock.
            version: The version that was current at that time.
        """
        with self._lock:
            # A peer that knows an older one may have read it in a restored store.
            if version == self.version:
                self._confirmed_at_s = max(self._confirmed_at_s, requested_at_s)

    def confirm_endpoints(self, complete_at_s: float) -> None:
        """Record that a peer has the same endpoints, complete at a given time.

        Args:
            complete_at_s: The time, on this instance's monotonic clock.
        """
        with self._lock:
            self._endpoints_confirmed_at_s = max(
                self._endpoints_confirmed_at_s, complete_at_s
            )

    def apply(self, reading: CatalogReading, requested_at_s: float) -> None:
        """Apply a reading of the store.

        While the store's configuration can't be read, or is older than the one known
        here, the latter is not confirmed as current, since the store may lack another
        that withdraws keys. The era of the store decides which readings count: those
        of an earlier one change and confirm nothing, and a later one is read whole.

        Args:
            reading: The result of a call.
            requested_at_s: Monotonic time just before the call.
        """
        with self._lock:
            if not self._accept_era(reading):
                return
            is_current = self._is_current(reading, requested_at_s)
            if is_current and reading.is_whole:
                self._drop_missing(reading.changes)
            if reading.is_whole:
                self._stored_version = 0
            for change in reading.changes:
                if is_current or change.concerns_document:
                    self._apply_change(change)
            if reading.is_whole and is_current:
                self._end_restoration()
            self._last_read_at_s = max(self._last_read_at_s, requested_at_s)
            is_known = self._stored_version >= self.version
            if is_known and not self._is_document_lost:
                self._confirmed_at_s = max(self._confirmed_at_s, requested_at_s)
            if is_current:
                self._watch_revision = reading.revision
                self._endpoints_confirmed_at_s = max(
                    self._endpoints_confirmed_at_s, requested_at_s
                )

    def accept_document(self, document: ConfigDocument) -> None:
        """Apply a document that a peer sent.

        This doesn't confirm that it is the current one.
        """
        with self._lock:
            self._adopt(document)

    def record_store_recovery(self) -> None:
        """Record that the store is available again after an outage.

        Entries that disappeared meanwhile are retained until live endpoints have had
        time to register again.
        """
        self._removal_grace_until_s = (
            self._clock.monotonic_s() + RECOVERY_GRACE.total_seconds()
        )

    def endpoints(self) -> tuple[RegisteredEndpoint, ...]:
        """Return the endpoints that are registered."""
        with self._lock:
            self._expire()
            return tuple(self._endpoints.values())

    def endpoint(self, endpoint_id: str) -> RegisteredEndpoint | None:
        """Return an endpoint, or None if it is not registered."""
        return self._endpoints.get(endpoint_id)

    def may_send(self, endpoint: RegisteredEndpoint) -> bool:
        """Return whether new requests may be sent to an endpoint now."""
        known = self._endpoints.get(endpoint.id)
        if known is None or known.incarnation != endpoint.incarnation:
            return False
        if known.address != endpoint.address or known.service != endpoint.service:
            return False
        if known.state is not EndpointState.READY:
            return False
        if self._is_leaving(endpoint.incarnation):
            return False
        return not self.is_evacuated(known.data_centre)

    def is_replaced(self, endpoint: RegisteredEndpoint) -> bool:
        """Return whether a later incarnation of an endpoint is registered."""
        known = self._endpoints.get(endpoint.id)
        return known is not None and known.started_at_ms > endpoint.started_at_ms

    def find_end(self, endpoint: RegisteredEndpoint) -> bool | None:
        """Return whether an endpoint has ended; None if it leaves as planned."""
        known = self._endpoints.get(endpoint.id)
        if known is not None and known.incarnation == endpoint.incarnation:
            if known.state is not EndpointState.READY:
                return None
            if self._is_leaving(endpoint.incarnation):
                return None
            return self._is_address_taken(endpoint)
        return None if self._is_leaving(endpoint.incarnation) else True

    def _is_address_taken(self, endpoint: RegisteredEndpoint) -> bool:
        """Return whether a later endpoint is registered under the same address."""
        with self._lock:
            return any(
                other.address == endpoint.address
                and other.started_at_ms > endpoint.started_at_ms
                for other in self._endpoints.values()
            )

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether no requests may be sent to a data centre."""
        return data_centre in self._evacuated.values()

    def snapshot(self) -> CatalogSnapshot:
        """Return the endpoints and evacuations, for other instances."""
        with self._lock:
            self._expire()
            now_s = self._clock.monotonic_s()
            return CatalogSnapshot(
                age_s=now_s - self._endpoints_confirmed_at_s,
                endpoints=tuple(
                    attrs.evolve(item, cold_until_s=max(0, item.cold_until_s - now_s))
                    for item in self._endpoints.values()
                ),
                evacuated=dict(self._evacuated),
            )

    def adopt(self, snapshot: CatalogSnapshot, requested_at_s: float) -> bool:
        """Replace the endpoints and evacuations by those of another instance.

        An older snapshot than the data here is ignored. After a snapshot was
        applied, the store must be read completely before it is watched again, as the
        changes since the last reading may already be outdated.

        Args:
            snapshot: The snapshot of another instance.
            requested_at_s: Monotonic time just before it was requested.

        Returns:
            Whether the snapshot was applied.
        """
        now_s = self._clock.monotonic_s()
        complete_at_s = requested_at_s - snapshot.age_s
        with self._lock:
            if complete_at_s <= self._endpoints_confirmed_at_s:
                return False
            self._endpoints_confirmed_at_s = complete_at_s
            self._watch_revision = None
            previous = self._endpoints
            self._endpoints = {}
            for item in snapshot.endpoints:
                cold_until_s = now_s + item.cold_until_s if item.cold_until_s else 0.0
                known = previous.get(item.id)
                if known is not None and known.started_at_ms > item.started_at_ms:
                    item = known
                else:
                    item = attrs.evolve(item, cold_until_s=cold_until_s)
                if known is None or _has_changed(known, item):
                    _log_registered(item)
                self._endpoints[item.id] = item
            for name in previous.keys() - self._endpoints.keys():
                log_event("endpoint_gone", endpoint=name)
            self._evacuated = dict(snapshot.evacuated)
            self._pending_removals.clear()
        return True

    def digest(self) -> int:
        """Return a hash of the endpoints and evacuations, to compare instances."""
        with self._lock:
            self._expire()
            now_s = self._clock.monotonic_s()
            texts = sorted(
                f"{item.incarnation}/{item.state}/{item.address}"
                f"/{item.service}/{now_s < item.cold_until_s}"
                for item in self._endpoints.values()
            )
            texts += sorted(self._evacuated.values())
        return xxhash.xxh3_64_intdigest("|".join(texts).encode()) >> 1

    def _accept_era(self, reading: CatalogReading) -> bool:
        """Return whether a reading counts, and begin its era if it is a later one."""
        era, known = reading.era, self._era
        # An older platform counts no eras.
        if era is None or era == known:
            return True
        if known is not None and era < known:
            log_event("store_reading_outdated", era=era, known=known)
            return False
        self._era = era
        if known is None and (reading.is_whole or self._watch_revision is None):
            return True
        log_event(
            "store_era_changed",
            era=era,
            before=known,
            revision=reading.revision,
            watched=self._watch_revision,
            version=self.version,
            knowledge_age_s=round(self._clock.monotonic_s() - self._confirmed_at_s, 3),
        )
        self.record_store_recovery()
        self._is_restored = True
        self._stored_version = 0
        self._watch_revision = None
        return reading.is_whole

    def _end_restoration(self) -> None:
        """Record that a copy has been read; what was kept is read again later."""
        self._reread_at_s = float("inf")
        if self._is_restored:
            self._is_restored = False
            self._reread_at_s = self._removal_grace_until_s

    def _is_current(self, reading: CatalogReading, requested_at_s: float) -> bool:
        # A snapshot of another instance may have been applied during the call.
        if reading.is_whole:
            return requested_at_s >= self._endpoints_confirmed_at_s
        return self._watch_revision is not None

    def _apply_change(self, change: CatalogChange) -> None:
        if change.is_removed:
            self._remove(change.key)
        elif change.document is not None:
            self._is_document_lost = False
            self._stored_version = change.document.version
            self._adopt(change.document)
        elif change.is_document_lost:
            self._is_document_lost = True
            log_event("configuration_lost", version=self.version)
        elif change.evacuated is not None:
            self._evacuated = self._evacuated | {change.key: change.evacuated}
            log_event("data_centre_evacuated", data_centre=change.evacuated)
        elif change.endpoint is not None:
            self._register(change.endpoint)

    def _adopt(self, document: ConfigDocument) -> None:
        previous = self.version
        if document.version <= previous:
            return
        self._document = document
        log_event(
            "configuration_adopted",
            version=document.version,
            replaced=previous,
            keys=len(document.keys),
            needs_keys=document.needs_keys,
        )

    def _register(self, endpoint: RegisteredEndpoint) -> None:
        known = self._endpoints.get(endpoint.id)
        if known is not None and endpoint.started_at_ms < known.started_at_ms:
            return
        if self._is_restored and self._is_outdated(known, endpoint):
            return
        self._departed.pop(endpoint.incarnation, None)
        self._pending_removals.pop(endpoint.id, None)
        self._endpoints[endpoint.id] = endpoint
        if known is None or _has_changed(known, endpoint):
            _log_registered(endpoint)

    def _is_outdated(
        self, known: RegisteredEndpoint | None, endpoint: RegisteredEndpoint
    ) -> bool:
        """Return whether the entry of a copy is older than what is known.

        An endpoint that lives writes its entry again.
        """
        if known is None or known.incarnation != endpoint.incarnation:
            return endpoint.incarnation in self._departed
        return known.state is not EndpointState.READY

    def _remove(self, key: str) -> None:
        evacuated = self._evacuated.get(key)
        if evacuated is not None:
            self._evacuated = {
                name: value for name, value in self._evacuated.items() if name != key
            }
            log_event("data_centre_returned", data_centre=evacuated)
            return
        endpoint_id = key.rpartition("/")[2]
        known = self._endpoints.get(endpoint_id)
        if known is None:
            return
        now_s = self._clock.monotonic_s()
        if now_s < self._removal_grace_until_s and known.state is EndpointState.READY:
            self._pending_removals[endpoint_id] = self._removal_grace_until_s
            return
        self._drop(endpoint_id)

    def _drop(self, endpoint_id: str) -> None:
        self._pending_removals.pop(endpoint_id, None)
        endpoint = self._endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            self._departed[endpoint.incarnation] = None
            if len(self._departed) > MAX_DEPARTED:
                del self._departed[next(iter(self._departed))]
            log_event("endpoint_gone", endpoint=endpoint_id)

    def _drop_missing(self, changes: Iterable[CatalogChange]) -> None:
        present = {change.key for change in changes}
        if not self._is_restored:
            # The operator writes an evacuation again that a copy lacks.
            for key in [key for key in self._evacuated if key not in present]:
                self._remove(key)
        ids = {change.endpoint.id for change in changes if change.endpoint}
        for endpoint_id in [name for name in self._endpoints if name not in ids]:
            self._remove(endpoint_id)

    def _expire(self) -> None:
        if not self._pending_removals:
            return
        now_s = self._clock.monotonic_s()
        for name in [
            name for name, until in self._pending_removals.items() if now_s >= until
        ]:
            self._drop(name)


def _has_changed(known: RegisteredEndpoint, new: RegisteredEndpoint) -> bool:
    return attrs.evolve(known, cold_until_s=0.0) != attrs.evolve(new, cold_until_s=0.0)


def _log_registered(endpoint: RegisteredEndpoint) -> None:
    log_event(
        "endpoint_registered",
        endpoint=endpoint.id,
        life=endpoint.started_at_ms,
        service=endpoint.service,
        address=endpoint.address,
        data_centre=endpoint.data_centre,
        state=endpoint.state.value,
    )
