"""The endpoints of the own data centre."""

import math
from collections.abc import Callable

from oriolepaddle.config import ConfigState, Entry
from oriolepaddle.config.model import Endpoint, ObjectKind
from oriolepaddle.routing.candidate import Candidate
from oriolepaddle.routing.endpoint_tracker import EndpointTracker
from oriolepaddle.routing.load_summary import LoadSummary
from oriolepaddle.routing.routing_request import RoutingRequest

__all__ = ["LocalFleet"]

ENGINE_QUEUE_PART = 0.25
"""Requests let into the engines' queues, as a part of the slots, so that a slot
that comes free is taken before the next load report tells of it."""


class LocalFleet:
    """The endpoints of one data centre and what is known of each.

    Callers hold the router's lock, except for `may_run`.

    Args:
        config: The configuration.
        data_centre: The data centre.
        count_instances: Returns its live instances, this one included.
    """

    def __init__(
        self,
        config: ConfigState,
        data_centre: str,
        count_instances: Callable[[], int],
    ) -> None:
        self._config = config
        self._data_centre = data_centre
        self._count_instances = count_instances
        self._trackers: dict[str, EndpointTracker] = {}
        self._by_route: dict[str, tuple[Endpoint, ...]] = {}
        self._changes = 1
        self._indexed_changes = 0
        config.add_listener(self._on_change)

    def count_instances(self) -> int:
        """Return the instances that share the endpoints, at least 1."""
        return max(1, self._count_instances())

    def endpoints(self, route_id: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a route, leaving ones included."""
        return self._index().get(route_id, ())

    def may_run(self, endpoint: Endpoint, request: RoutingRequest) -> bool:
        """Return whether an endpoint takes requests of a route at all."""
        return (
            not endpoint.leaving
            and endpoint.data_centre == self._data_centre
            and request.route.id in endpoint.routes
        )

    def tracker(self, endpoint: Endpoint) -> EndpointTracker:
        """Return what is known of an endpoint."""
        held = self._trackers.get(endpoint.id)
        if held is None:
            held = self._trackers[endpoint.id] = EndpointTracker(endpoint)
        return held

    def candidate(
        self, endpoint: Endpoint, request: RoutingRequest, now_s: float
    ) -> Candidate:
        """Return an endpoint with what is expected of it for a request."""
        tracker = self.tracker(endpoint)
        limit = tracker.health.limit(endpoint.slots, now_s)
        is_returning = limit < endpoint.slots
        return Candidate(
            endpoint=endpoint,
            tracker=tracker,
            request=request,
            queueing_s=tracker.queueing_s(
                endpoint.slots, now_s, self.count_instances()
            ),
            cached_tokens=tracker.cache.expect(request.prefix_hashes),
            is_usable=not is_returning or tracker.load.own < limit,
            is_up=not tracker.health.is_failed,
        )

    def concurrency_limit(self, route_id: str, now_s: float) -> int:
        """Return how many requests of a route may run from this instance.

        It is at least an even share of the slots and of the short queues before
        them. Above that it is what runs
        already plus an even share of what seems free, or minus an even share
        of what waits in the engines' queues.
        """
        instances = self.count_instances()
        own = 0
        slots = free = 0.0
        for endpoint in self.endpoints(route_id):
            tracker = self.tracker(endpoint)
            usable = tracker.health.limit(endpoint.slots, now_s)
            if endpoint.leaving or usable == 0:
                continue
            places = usable * (1.0 + ENGINE_QUEUE_PART)
            slots += places
            own += tracker.load.own
            free += places - tracker.in_flight(now_s, instances)
        return max(math.ceil(slots / instances), int(own + free / instances))

    def summarize(self, now_s: float) -> tuple[LoadSummary, ...]:
        """Return the load of each route."""
        return tuple(self._summarize(route_id, now_s) for route_id in self._index())

    def _summarize(self, route_id: str, now_s: float) -> LoadSummary:
        instances = self.count_instances()
        waits: list[tuple[float, float]] = []
        free = prefill = 0.0
        for endpoint in self.endpoints(route_id):
            tracker = self.tracker(endpoint)
            usable = tracker.health.limit(endpoint.slots, now_s)
            if endpoint.leaving or tracker.health.is_failed or usable == 0:
                continue
            queueing_s = tracker.queueing_s(usable, now_s, instances)
            requests_per_s = usable / tracker.service_s.value
            waits.append((queueing_s, requests_per_s))
            free += max(0.0, usable - tracker.in_flight(now_s, instances))
            prefill += requests_per_s * tracker.prefill_tokens_per_s.value
        rate = sum(requests_per_s for _, requests_per_s in waits)
        return LoadSummary(
            data_centre=self._data_centre,
            route=route_id,
            queueing_s=_average_better_half(waits),
            free_slots=free,
            requests_per_s=rate,
            prefill_tokens_per_s=prefill / rate if rate else 0.0,
        )

    def _index(self) -> dict[str, tuple[Endpoint, ...]]:
        # A ticket may be merged while the index is built; then it is built again.
        changes = self._changes
        if self._indexed_changes != changes:
            self._by_route = self._build_index()
            self._indexed_changes = changes
        return self._by_route

    def _build_index(self) -> dict[str, tuple[Endpoint, ...]]:
        found: dict[str, tuple[Endpoint, ...]] = {}
        for endpoint in self._config.endpoints():
            if endpoint.data_centre != self._data_centre:
                continue
            for route_id in endpoint.routes:
                found[route_id] = (*found.get(route_id, ()), endpoint)
        return found

    def _on_change(self, changed: tuple[Entry, ...]) -> None:
        endpoints = [entry for entry in changed if entry.kind is ObjectKind.ENDPOINT]
        for entry in endpoints:
            if entry.is_tombstone:
                self._trackers.pop(entry.id, None)
        if endpoints:
            self._changes += 1


def _average_better_half(waits: list[tuple[float, float]]) -> float:
    # The shortest wait alone is mostly that of a slow endpoint, which few
    # requests choose; the mean of all counts endpoints that none would choose.
    half = left = sum(requests_per_s for _, requests_per_s in waits) / 2
    if half == 0:
        return math.inf
    total_s = 0.0
    for queueing_s, requests_per_s in sorted(waits):
        used = min(left, requests_per_s)
        total_s += used * queueing_s
        left -= used
    return total_s / half
