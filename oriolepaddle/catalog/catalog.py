"""What this instance knows of routes, keys and endpoints."""

import threading
from collections.abc import Iterable
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

RETURN_GRACE = timedelta(seconds=2.2)
"""How long endpoints whose entries lapsed during an outage are kept after it;
live ones are back within about two seconds of the store's return."""

MAX_READING_AGE = timedelta(seconds=2.5)
"""Age of an instance's own reading of the store above which it listens to its
peers; twice the longest watch and the pause after it."""


class Catalog:
    """The newest document, the endpoints and the evacuated data centres.

    The document only ever goes to higher versions. Thread-safe; readers get
    immutable values.

    Args:
        clock: Tells the age of what is known.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._document: ConfigDocument | None = None
        self._endpoints: dict[str, RegisteredEndpoint] = {}
        self._lapsing: dict[str, float] = {}
        self._evacuated: dict[str, str] = {}
        self._watch_revision: int | None = None
        self._confirmed_s = float("-inf")
        self._endpoints_s = float("-inf")
        self._read_s = float("-inf")
        self._lapse_until_s = float("-inf")

    @property
    def document(self) -> ConfigDocument | None:
        """The configuration in force, or None before the first was read."""
        return self._document

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self._document.version if self._document else 0

    def age_s(self) -> float:
        """Return the seconds since what is known was surely all there was."""
        return self._clock.monotonic_s() - self._confirmed_s

    def endpoints_age_s(self) -> float:
        """Return the seconds since the endpoints held were surely all there were."""
        return self._clock.monotonic_s() - self._endpoints_s

    def needs_peer_snapshot(self) -> bool:
        """Return whether peers' word of endpoints is to be taken.

        It is while this instance does not read the store, by choice or because
        it cannot.
        """
        reading_age_s = self._clock.monotonic_s() - self._read_s
        return reading_age_s > MAX_READING_AGE.total_seconds()

    @property
    def endpoints_confirmed_at_s(self) -> float:
        """Monotonic time of which the endpoints held here are complete."""
        return self._endpoints_s

    @property
    def watch_revision(self) -> int | None:
        """The revision to go on reading from, or None if all is to be read."""
        return self._watch_revision

    def reset_watch_revision(self) -> None:
        """Have everything read anew."""
        with self._lock:
            self._watch_revision = None

    def confirm_version(self, asked_at_s: float, version: int) -> None:
        """Note that a version was the newest at a moment, by a peer's word.

        Args:
            asked_at_s: Monotonic time of this instance.
            version: The version that was in force then.
        """
        with self._lock:
            if version <= self.version:
                self._confirmed_s = max(self._confirmed_s, asked_at_s)

    def confirm_endpoints(self, complete_s: float) -> None:
        """Note that a peer holds the same endpoints, complete as of a moment.

        Args:
            complete_s: Monotonic time of this instance.
        """
        with self._lock:
            self._endpoints_s = max(self._endpoints_s, complete_s)

    def apply(self, reading: CatalogReading, asked_at_s: float) -> None:
        """Take in what was read.

        Args:
            reading: The result of a call.
            asked_at_s: Monotonic time just before the call.
        """
        with self._lock:
            is_current = self._continues(reading, asked_at_s)
            if is_current and reading.is_whole:
                self._drop_missing(reading.changes)
            for change in reading.changes:
                if is_current or change.document is not None:
                    self._apply_change(change)
            self._read_s = max(self._read_s, asked_at_s)
            self._confirmed_s = max(self._confirmed_s, asked_at_s)
            if is_current:
                self._watch_revision = reading.revision
                self._endpoints_s = max(self._endpoints_s, asked_at_s)

    def accept_document(self, document: ConfigDocument) -> None:
        """Take in a peer's document.

        It proves nothing of what is in force now.
        """
        with self._lock:
            self._adopt(document)

    def record_store_recovery(self) -> None:
        """Note that the store is back after an outage.

        Entries that vanished meanwhile are kept until live endpoints have had
        the time to register again.
        """
        self._lapse_until_s = self._clock.monotonic_s() + RETURN_GRACE.total_seconds()

    def endpoints(self) -> tuple[RegisteredEndpoint, ...]:
        """Return the endpoints that are registered."""
        with self._lock:
            self._expire()
            return tuple(self._endpoints.values())

    def endpoint(self, endpoint_id: str) -> RegisteredEndpoint | None:
        """Return an endpoint, or None if it is not registered."""
        return self._endpoints.get(endpoint_id)

    def may_send(self, endpoint: RegisteredEndpoint) -> bool:
        """Return whether an endpoint may get new work at this moment."""
        held = self._endpoints.get(endpoint.id)
        if held is None or held.incarnation != endpoint.incarnation:
            return False
        if held.address != endpoint.address or held.service != endpoint.service:
            return False
        if held.state is not EndpointState.READY:
            return False
        return not self.is_evacuated(held.data_centre)

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether a data centre is to get no work."""
        return data_centre in self._evacuated.values()

    def snapshot(self) -> CatalogSnapshot:
        """Return the endpoints and evacuations, for other instances."""
        with self._lock:
            self._expire()
            now_s = self._clock.monotonic_s()
            return CatalogSnapshot(
                age_s=now_s - self._endpoints_s,
                endpoints=tuple(
                    attrs.evolve(item, cold_until_s=max(0, item.cold_until_s - now_s))
                    for item in self._endpoints.values()
                ),
                evacuated=dict(self._evacuated),
            )

    def adopt(self, snapshot: CatalogSnapshot, asked_at_s: float) -> bool:
        """Replace the endpoints and evacuations by another instance's.

        Nothing changes unless its knowledge is fresher. The store is then to be
        read as a whole before it is watched again, as the changes since the
        last reading may already be outdated.

        Args:
            snapshot: What another instance holds.
            asked_at_s: Monotonic time just before it was asked for.

        Returns:
            Whether it was taken in.
        """
        now_s = self._clock.monotonic_s()
        complete_s = asked_at_s - snapshot.age_s
        with self._lock:
            if complete_s <= self._endpoints_s:
                return False
            self._endpoints_s = complete_s
            self._watch_revision = None
            held = self._endpoints
            self._endpoints = {}
            for item in snapshot.endpoints:
                cold_until_s = now_s + item.cold_until_s if item.cold_until_s else 0.0
                known = held.get(item.id)
                if known is not None and known.started_at_ms > item.started_at_ms:
                    item = known
                else:
                    item = attrs.evolve(item, cold_until_s=cold_until_s)
                if known is None or _is_news(known, item):
                    _log_registered(item)
                self._endpoints[item.id] = item
            for name in held.keys() - self._endpoints.keys():
                log_event("endpoint_gone", endpoint=name)
            self._evacuated = dict(snapshot.evacuated)
            self._lapsing.clear()
        return True

    def digest(self) -> int:
        """Return a number that is equal for equal endpoints and evacuations."""
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

    def _continues(self, reading: CatalogReading, asked_at_s: float) -> bool:
        # Another instance's endpoints may have been adopted during the call.
        if reading.is_whole:
            return asked_at_s >= self._endpoints_s
        return self._watch_revision is not None

    def _apply_change(self, change: CatalogChange) -> None:
        if change.is_removed:
            self._remove(change.key)
        elif change.document is not None:
            self._adopt(change.document)
        elif change.evacuated is not None:
            self._evacuated = self._evacuated | {change.key: change.evacuated}
            log_event("data_centre_evacuated", data_centre=change.evacuated)
        elif change.endpoint is not None:
            self._register(change.endpoint)

    def _adopt(self, document: ConfigDocument) -> None:
        held = self.version
        if document.version <= held:
            return
        self._document = document
        log_event("configuration_adopted", version=document.version, replaced=held)

    def _register(self, endpoint: RegisteredEndpoint) -> None:
        held = self._endpoints.get(endpoint.id)
        if held is not None and endpoint.started_at_ms < held.started_at_ms:
            return
        self._lapsing.pop(endpoint.id, None)
        self._endpoints[endpoint.id] = endpoint
        if held is None or _is_news(held, endpoint):
            _log_registered(endpoint)

    def _remove(self, key: str) -> None:
        evacuated = self._evacuated.get(key)
        if evacuated is not None:
            self._evacuated = {
                name: value for name, value in self._evacuated.items() if name != key
            }
            log_event("data_centre_returned", data_centre=evacuated)
            return
        endpoint_id = key.rpartition("/")[2]
        held = self._endpoints.get(endpoint_id)
        if held is None:
            return
        now_s = self._clock.monotonic_s()
        if now_s < self._lapse_until_s and held.state is EndpointState.READY:
            self._lapsing[endpoint_id] = self._lapse_until_s
            return
        self._drop(endpoint_id)

    def _drop(self, endpoint_id: str) -> None:
        self._lapsing.pop(endpoint_id, None)
        if self._endpoints.pop(endpoint_id, None) is not None:
            log_event("endpoint_gone", endpoint=endpoint_id)

    def _drop_missing(self, changes: Iterable[CatalogChange]) -> None:
        present = {change.key for change in changes}
        for key in [key for key in self._evacuated if key not in present]:
            self._remove(key)
        ids = {change.endpoint.id for change in changes if change.endpoint}
        for endpoint_id in [name for name in self._endpoints if name not in ids]:
            self._remove(endpoint_id)

    def _expire(self) -> None:
        if not self._lapsing:
            return
        now_s = self._clock.monotonic_s()
        for name in [name for name, until in self._lapsing.items() if now_s >= until]:
            self._drop(name)


def _is_news(held: RegisteredEndpoint, new: RegisteredEndpoint) -> bool:
    return attrs.evolve(held, cold_until_s=0.0) != attrs.evolve(new, cold_until_s=0.0)


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
