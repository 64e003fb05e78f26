"""Chooses the endpoint or data centre that runs a request."""

import threading
from collections.abc import Callable, Iterable

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import Endpoint
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.routing.cache_events import CacheEvents
from oriolepaddle.routing.candidate import Candidate
from oriolepaddle.routing.decision import Decision
from oriolepaddle.routing.endpoint_policy import EndpointPolicy
from oriolepaddle.routing.endpoint_view import EndpointView
from oriolepaddle.routing.load_report import LoadReport
from oriolepaddle.routing.load_summary import LoadSummary
from oriolepaddle.routing.local_fleet import LocalFleet
from oriolepaddle.routing.preferred import find_preferred
from oriolepaddle.routing.remote_loads import RemoteLoads
from oriolepaddle.routing.request_handle import RequestHandle
from oriolepaddle.routing.residency import AllowedRegions
from oriolepaddle.routing.routing_request import RoutingRequest
from oriolepaddle.routing.score import Score

__all__ = ["Router"]

MIN_FORWARD_GAIN_S = 0.25
"""Minimum expected gain for which a request is forwarded to another data centre."""
MAX_LOCAL_FAILURES = 2
"""Number of endpoints that failed a request after which it is forwarded to another
data centre if possible, as the whole local one may be affected."""
UNCACHED_PREFILL_WEIGHT = 3.0
"""Weight of additional prefill when local and remote costs are compared."""


class Router:
    """Chooses where requests run; thread-safe.

    Args:
        clock: The clock.
        config: The configuration.
        data_centre: This instance's data centre.
        policy: Ranks the endpoints.
        count_instances: Returns the number of live instances of this data centre, this
            one included; they share its endpoints.
        delay_s: Returns the one-way delay to a data centre, in seconds.
        waiting_s: Returns the estimated seconds that requests of a route wait for
            admission here. It must not acquire a lock that is held during calls
            to the router, to avoid a deadlock.
    """

    def __init__(
        self,
        clock: Clock,
        config: ConfigState,
        data_centre: str,
        policy: EndpointPolicy,
        count_instances: Callable[[], int],
        delay_s: Callable[[str], float],
        waiting_s: Callable[[str], float] = lambda route_id: 0.0,
    ) -> None:
        self._clock = clock
        self._waiting_s = waiting_s
        self._config = config
        self._data_centre = data_centre
        self._policy = policy
        self._lock = threading.RLock()
        self._fleet = LocalFleet(config, data_centre, count_instances)
        self._remote_loads = RemoteLoads(delay_s)
        self._delay_s = delay_s

    def choose(self, request: RoutingRequest, is_admitted: bool = False) -> Decision:
        """Choose the endpoint, or the data centre that a request is forwarded to.

        Call this once before admission, as a long wait for it may justify forwarding
        the request, and again after admission to choose the endpoint.

        Args:
            request: The request.
            is_admitted: Whether it has been admitted, so that it no longer waits here.

        Raises:
            RefusedError: No target may run it now; it was not run. The code is
                `RESIDENCY_UNSERVABLE`, `NO_ENDPOINT` or `HOP_LIMIT`.
        """
        regions = AllowedRegions(request, self._config)
        waiting_s = 0.0 if is_admitted else self._waiting_s(request.route.id)
        with self._lock:
            local = self._rank_local(request, regions)
            remote: tuple[Score, ...] = ()
            if _may_prefer_remote(request, local, waiting_s):
                remote = self._rank_remote(request, regions, bool(local))
            if local and not _prefers_remote(request, remote, local, waiting_s):
                endpoint = self._config.endpoint(local[0].target)
                if self.is_allowed(local[0].target, request):
                    return Decision(endpoint, None, local + remote)
            if remote:
                target = remote[0].target
                self._remote_loads.record_sent(request.route.id, target)
                return Decision(None, target, remote + local)
        unreported = self._find_unreported(request, regions)
        if unreported is not None:
            return Decision(None, unreported, ())
        raise self._make_refusal(request, regions)

    def is_allowed(self, endpoint_id: str, request: RoutingRequest) -> bool:
        """Return whether the current tickets allow an endpoint to run a request.

        Check again just before sending: a ticket may have been merged in between.
        """
        endpoint = self._config.endpoint(endpoint_id)
        if endpoint is None or not self._fleet.may_run(endpoint, request):
            return False
        return AllowedRegions(request, self._config).contains(self._data_centre)

    def start(self, request: RoutingRequest, endpoint: Endpoint) -> RequestHandle:
        """Record that a request is now sent to an endpoint; return its handle."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            tracker = self._fleet.tracker(endpoint)
            candidate = self._fleet.candidate(endpoint, request, now_s)
            expected_s = (
                candidate.queueing_s - tracker.bias_s(now_s) + candidate.prefill_s
            )
            tracker.cache.record(request.prefix_hashes, now_s)
            return RequestHandle(
                self._clock, self._lock, tracker, expected_s, candidate.uncached_tokens
            )

    def record_endpoint_failure(self, endpoint_id: str) -> None:
        """Record that an endpoint crashed, or refused or broke a connection."""
        with self._lock:
            endpoint = self._config.endpoint(endpoint_id)
            if endpoint is not None:
                self._fleet.tracker(endpoint).record_failure(self._clock.monotonic_s())

    def inspect(self, endpoint: Endpoint) -> EndpointView:
        """Return the state of an endpoint for operators."""
        with self._lock:
            tracker = self._fleet.tracker(endpoint)
            instances = self._fleet.count_instances()
            return EndpointView(
                in_flight=tracker.in_flight(self._clock.monotonic_s(), instances),
                is_failed=tracker.health.is_failed,
            )

    def apply_load_report(self, report: LoadReport) -> None:
        """Apply a delayed load report of an endpoint."""
        with self._lock:
            endpoint = self._config.endpoint(report.endpoint)
            if endpoint is not None:
                tracker = self._fleet.tracker(endpoint)
                tracker.load.apply_report(report, self._clock.monotonic_s())

    def apply_cache_events(self, events: CacheEvents) -> None:
        """Apply a batch of delayed cache events of an endpoint."""
        with self._lock:
            endpoint = self._config.endpoint(events.endpoint)
            if endpoint is not None:
                tracker = self._fleet.tracker(endpoint)
                tracker.cache.apply(events, self._clock.monotonic_s())

    def load_summaries(self) -> tuple[LoadSummary, ...]:
        """Return this data centre's load summaries, one per route."""
        with self._lock:
            summaries = self._fleet.summarize(self._clock.monotonic_s())
        return tuple(
            attrs.evolve(item, queueing_s=item.queueing_s + self._waiting_s(item.route))
            for item in summaries
        )

    def apply_summaries(self, summaries: Iterable[LoadSummary]) -> None:
        """Apply other data centres' summaries; own ones are ignored."""
        remote = [item for item in summaries if item.data_centre != self._data_centre]
        with self._lock:
            self._remote_loads.apply(remote, self._clock.monotonic_s())

    def concurrency_limit(self, route_id: str) -> int:
        """Return how many requests of a route this instance may run at once."""
        with self._lock:
            return self._fleet.concurrency_limit(route_id, self._clock.monotonic_s())

    def _rank_local(
        self, request: RoutingRequest, regions: AllowedRegions
    ) -> tuple[Score, ...]:
        if not regions.contains(self._data_centre):
            return ()
        now_s = self._clock.monotonic_s()
        candidates = self._list_candidates(request, now_s)
        return self._policy.rank(candidates) if candidates else ()

    def _list_candidates(
        self, request: RoutingRequest, now_s: float
    ) -> list[Candidate]:
        candidates = [
            self._fleet.candidate(endpoint, request, now_s)
            for endpoint in self._fleet.endpoints(request.route.id)
            if self._fleet.may_run(endpoint, request)
            and endpoint.id not in request.excluded
        ]
        usable = [candidate for candidate in candidates if candidate.is_usable]
        # Queueing at an endpoint that is recovering is better than a refusal.
        return usable or [candidate for candidate in candidates if candidate.is_up]

    def _rank_remote(
        self, request: RoutingRequest, regions: AllowedRegions, has_local: bool
    ) -> tuple[Score, ...]:
        if request.hops:
            return ()
        now_s = self._clock.monotonic_s()
        route = request.route.id
        sender_count = self._fleet.count_instances()
        allowed = {
            name: requests_per_s
            for name, requests_per_s in self._remote_loads.throughputs(
                route, now_s
            ).items()
            if requests_per_s > 0 and regions.contains(name)
        }
        # A remote cache is shared only if all requests with a prefix are forwarded.
        preferred = (
            None if has_local else find_preferred(request.prefix_hashes, allowed)
        )
        scores = [
            self._remote_loads.score(
                name, request, sender_count, is_preferred=name == preferred
            )
            for name in allowed
        ]
        usable = [score for score in scores if score is not None]
        return tuple(sorted(usable, key=lambda score: score.total_s))

    def _find_unreported(
        self, request: RoutingRequest, regions: AllowedRegions
    ) -> str | None:
        """Return a data centre that is configured to run a request, or None.

        Its load is unknown. It is the last resort for a request that cannot run
        anywhere else.
        """
        if request.hops:
            return None
        data_centres = {
            endpoint.data_centre
            for endpoint in self._config.endpoints()
            if request.route.id in endpoint.routes and not endpoint.leaving
        }
        data_centres = {name for name in data_centres if regions.contains(name)}
        data_centres.discard(self._data_centre)
        return min(data_centres, key=self._order_by_delay, default=None)

    def _order_by_delay(self, data_centre: str) -> tuple[float, str]:
        return self._delay_s(data_centre), data_centre

    def _make_refusal(
        self, request: RoutingRequest, regions: AllowedRegions
    ) -> RefusedError:
        route = request.route.id
        if request.hops:
            code = ErrorCode.HOP_LIMIT
        elif regions.is_restricted:
            code = ErrorCode.RESIDENCY_UNSERVABLE
        else:
            code = ErrorCode.NO_ENDPOINT
        return RefusedError(
            f"no endpoint of route {route} can run the request now", code=code
        )


def _may_prefer_remote(
    request: RoutingRequest, local: tuple[Score, ...], waiting_s: float
) -> bool:
    # Forwarding gains nothing if there is hardly a local queue. This avoids scoring
    # all data centres for most requests.
    if not local or len(request.excluded) >= MAX_LOCAL_FAILURES:
        return True
    return waiting_s + local[0].queueing_s > MIN_FORWARD_GAIN_S


def _prefers_remote(
    request: RoutingRequest,
    remote: tuple[Score, ...],
    local: tuple[Score, ...],
    waiting_s: float,
) -> bool:
    if not remote:
        return False
    if len(request.excluded) >= MAX_LOCAL_FAILURES:
        return True
    return waiting_s + _gain_s(local[0], remote[0]) > MIN_FORWARD_GAIN_S


def _gain_s(local: Score, remote: Score) -> float:
    # Faster remote prefill does not count as a gain, as the prompt would never be
    # cached locally. Slower or uncached prefill counts as a loss, as it delays other
    # requests too.
    lost_prefill_s = max(0.0, remote.prefill_s - local.prefill_s)
    gained_s = local.queueing_s - remote.queueing_s - remote.delay_s
    return gained_s - UNCACHED_PREFILL_WEIGHT * lost_prefill_s
