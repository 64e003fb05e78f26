"""The endpoints of the local data centre."""

import math
from collections.abc import Callable

from oriolepaddle.config import ConfigState, Entry
from oriolepaddle.config.model import Endpoint, ObjectKind
from oriolepaddle.routing.candidate import Candidate
from oriolepaddle.routing.endpoint_tracker import EndpointTracker
from oriolepaddle.routing.load_summary import LoadSummary
from oriolepaddle.routing.routing_request import RoutingRequest

__all__ = ["LocalFleet"]

ENGINE_QUEUE_FRACTION = 0.25
"""Requests admitted to the engines' queues, as a fraction of the slots, so that a freed
slot is reused before the next load report shows it as free."""


class LocalFleet:
    """The endpoints of one data centre and their trackers.

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
        self._change_count = 1
        self._indexed_change_count = 0
        config.add_listener(self._on_change)

    def count_instances(self) -> int:
        """Return the instances that share the endpoints, at least 1."""
        return max(1, self._count_instances())

    def endpoints(self, route_id: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a route, including those that are leaving."""
        return self._index().get(route_id, ())

    def may_run(self, endpoint: Endpoint, request: RoutingRequest) -> bool:
        """Return whether an endpoint accepts requests of the route at all."""
        return (
            not endpoint.leaving
            and endpoint.data_centre == self._data_centre
            and request.route.id in endpoint.routes
        )

    def tracker(self, endpoint: Endpoint) -> EndpointTracker:
        """Return the tracker of an endpoint."""
        tracker = self._trackers.get(endpoint.id)
        if tracker is None:
            tracker = self._trackers[endpoint.id] = EndpointTracker(endpoint)
        return tracker

    def candidate(
        self, endpoint: Endpoint, request: RoutingRequest, now_s: float
    ) -> Candidate:
        """Return an endpoint with its expected performance for a request."""
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
            cached_tokens=tracker.cache.estimate_cached_tokens(request.prefix_hashes),
            is_usable=not is_returning or tracker.load.own_requests < limit,
            is_up=not tracker.health.is_failed,
        )

    def concurrency_limit(self, route_id: str, now_s: float) -> int:
        """Return how many requests of a route may run from this instance.

        The limit is at least an even share of the places, which are the slots and the
        short queues in front of them. It is higher if the own running requests plus an
        even share of the places that seem free exceed that. More requests in flight
        than places count as negative free places.
        """
        instances = self.count_instances()
        own = 0
        slots = free = 0.0
        for endpoint in self.endpoints(route_id):
            tracker = self.tracker(endpoint)
            usable = tracker.health.limit(endpoint.slots, now_s)
            if endpoint.leaving or usable == 0:
                continue
            places = usable * (1.0 + ENGINE_QUEUE_FRACTION)
            slots += places
            own += tracker.load.own_requests
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
            queueing_s=_average_shortest_half(waits),
            free_slots=free,
            requests_per_s=rate,
            prefill_tokens_per_s=prefill / rate if rate else 0.0,
        )

    def _index(self) -> dict[str, tuple[Endpoint, ...]]:
        # A ticket may be merged while the index is built; the next call then builds
        # it again.
        change_count = self._change_count
        if self._indexed_change_count != change_count:
            self._by_route = self._build_index()
            self._indexed_change_count = change_count
        return self._by_route

    def _build_index(self) -> dict[str, tuple[Endpoint, ...]]:
        endpoints_by_route: dict[str, tuple[Endpoint, ...]] = {}
        for endpoint in self._config.endpoints():
            if endpoint.data_centre != self._data_centre:
                continue
            for route_id in endpoint.routes:
                endpoints_by_route[route_id] = (
                    *endpoints_by_route.get(route_id, ()),
                    endpoint,
                )
        return endpoints_by_route

    def _on_change(self, changed: tuple[Entry, ...]) -> None:
        endpoints = [entry for entry in changed if entry.kind is ObjectKind.ENDPOINT]
        for entry in endpoints:
            if entry.is_tombstone:
                self._trackers.pop(entry.id, None)
        if endpoints:
            self._change_count += 1


def _average_shortest_half(waits: list[tuple[float, float]]) -> float:
    # Averages the wait over the half of the throughput with the shortest waits. The
    # minimum alone is mostly that of a slow endpoint, which few requests choose; the
    # mean of all would include endpoints that no request would choose.
    half = remaining = sum(requests_per_s for _, requests_per_s in waits) / 2
    if half == 0:
        return math.inf
    total_s = 0.0
    for queueing_s, requests_per_s in sorted(waits):
        used = min(remaining, requests_per_s)
        total_s += used * queueing_s
        remaining -= used
    return total_s / half
