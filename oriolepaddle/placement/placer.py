"""Chooses an endpoint of this instance's region for each request.

Designed for long prompts with shared prefixes that, at peak, exceed the prefill
capacity of a region's engines. Prefill is the bottleneck, so a request goes to the
endpoint with the least prefill left before its first event, and is refused at once
if no endpoint could begin the answer in time.
"""

import random
import threading
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta

import attrs

from oriolepaddle.catalog import Catalog, EndpointService, RegisteredEndpoint
from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.placement.choice import Choice
from oriolepaddle.placement.costs import RequestCosts
from oriolepaddle.placement.job import Job
from oriolepaddle.placement.load import INITIAL_SERVICE_S, EndpointLoad, PeerLoad
from oriolepaddle.placement.paces import NoPaces, Pace, Paces
from oriolepaddle.placement.permits import FreePermits, Permits
from oriolepaddle.placement.preferred import rank_preferred
from oriolepaddle.placement.prefix_source import find_prefix_source
from oriolepaddle.placement.run import PlacedRun
from oriolepaddle.placement.score import EndpointScore, make_score
from oriolepaddle.placement.spread import Scored, choose_of_two, choose_spread
from oriolepaddle.placement.stream_stats import ServiceStreamStats
from oriolepaddle.placement.weights import PlacementWeights

__all__ = ["Placer"]

PREFERENCE_BONUSES_S = (0.08, 0.05)
"""Cost reduction for the first and second preferred endpoint of a prompt's shared
prefix, so that instances that do not know of each other's requests send the prefix to
the same endpoint. About the time of prefilling it again."""
REPORT_AGE_S = 0.6
"""About the age of a peer's report when the next one replaces it. The reported requests
that cost less have ended by then."""
NO_LOAD = PeerLoad(0, 0)
RETRY_AFTER = timedelta(milliseconds=300)
"""Retry delay sent with refusals: about the time in which a queue gets shorter."""


class Placer:
    """Tracks the endpoints' load and chooses among them; thread-safe.

    Args:
        clock: The clock.
        catalog: The endpoints.
        is_local: Whether a data centre is in this instance's region.
        find_cold_share: Returns this instance's share of the request rate of cold
            endpoints; the shares of a region's instances add up to at most 1.
        weights: Weights of the cost terms beside the time to the first byte.
        permits: Decides which requests endpoints with a limit get.
        paces: The paces that endpoints report.
        generator: The source of randomness for choices with old reports.
    """

    def __init__(
        self,
        clock: Clock,
        catalog: Catalog,
        is_local: Callable[[str], bool],
        find_cold_share: Callable[[], float] = lambda: 1.0,
        weights: PlacementWeights | None = None,
        permits: Permits | None = None,
        paces: Paces | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._is_local = is_local
        self._find_cold_share = find_cold_share
        self._weights = weights or PlacementWeights()
        self._permits = permits or FreePermits()
        self._paces = paces or NoPaces()
        self._generator = generator or random.Random()
        self._lock = threading.Lock()
        self._loads: dict[str, EndpointLoad] = {}
        self._service_stats: dict[str, ServiceStreamStats] = {}
        self._service_costs: dict[str, RequestCosts] = {}

    def choose(
        self,
        job: Job,
        excluded: Iterable[str] = (),
        permitted: RegisteredEndpoint | None = None,
    ) -> Choice:
        """Return the endpoint with the lowest cost.

        Args:
            job: The request.
            excluded: Incarnations of endpoints that have already failed the request.
            permitted: The only endpoint to choose from, for which a permit has been
                acquired; None if there is none.

        Raises:
            RefusedError: No endpoint may run it (`NO_ENDPOINT`), or the best one is
                not expected to begin within `max_first_byte_s` (`OVERLOADED`).
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if permitted is None:
                loads = self._list_candidates(job.service, now_s, frozenset(excluded))
            else:
                loads = [self._find_load(permitted, now_s)]
            if not loads:
                raise RefusedError(
                    f"no endpoint of {job.service} can run the request now",
                    code=ErrorCode.NO_ENDPOINT,
                    retry_after=self._find_retry_after(job.service, now_s),
                )
            preferred = rank_preferred((load.endpoint.id for load in loads), job)
            scored = self._score_all(loads, preferred, job, now_s)
            _, choice, load = self._select(scored, job)
            if choice.expected_s > job.max_first_byte_s:
                raise RefusedError(
                    f"{job.service} would begin the answer in "
                    f"{choice.expected_s:.2f} s, "
                    f"later than {job.max_first_byte_s:.2f} s",
                    code=ErrorCode.OVERLOADED,
                    retry_after=RETRY_AFTER,
                )
            if load.is_cold(now_s):
                # Acquired under the lock, so that no two requests get the same permit.
                load.cold_bucket.acquire(now_s, self._find_cold_share())
            if permitted is None:
                self._permits.acquire(load.endpoint.incarnation)
            source = find_prefix_source(job, load, loads, preferred, now_s)
        return attrs.evolve(choice, prefix_source=source)

    def list_without_permit(
        self, job: Job, excluded: Iterable[str] = ()
    ) -> list[RegisteredEndpoint]:
        """Return the endpoints that lack nothing but a permit, lowest cost first."""
        now_s = self._clock.monotonic_s()
        ignored = frozenset(excluded)
        with self._lock:
            loads = [
                load
                for load in self._list_sendable(job.service, now_s)
                # Most endpoints have no limit, so this goes first.
                if not self._permits.can_acquire(load.endpoint.incarnation)
                and load.endpoint.incarnation not in ignored
                and not load.is_blocked(now_s)
                and self._is_warm_enough(load, now_s)
                and self._permits.may_send(load.endpoint.incarnation, load.running)
            ]
            scored = self._score_all(loads, [], job, now_s)
        in_time = [
            (cost_s, load.endpoint)
            for cost_s, choice, load in scored
            if choice.expected_s <= job.max_first_byte_s
        ]
        return [endpoint for _, endpoint in sorted(in_time, key=lambda item: item[0])]

    def explain(self, job: Job) -> tuple[EndpointScore, ...]:
        """Return the endpoints' scores for a request, lowest cost first."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            scores = []
            loads = self._list_loads(job.service, now_s)
            preferred = rank_preferred((load.endpoint.id for load in loads), job)
            for cost_s, choice, load in self._score_all(loads, preferred, job, now_s):
                total = load.total_load(now_s)
                scores.append(make_score(cost_s, choice, total, load.is_cold(now_s)))
        return tuple(sorted(scores, key=lambda score: score.cost_s))

    def has_other(self, service: str, excluded: Iterable[str]) -> bool:
        """Return whether an endpoint that is not blocked could run a request.

        Args:
            service: The service.
            excluded: Incarnations of endpoints to ignore.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            loads = self._list_candidates(service, now_s, frozenset(excluded))
            return any(not load.is_blocked(now_s) for load in loads)

    def start(self, choice: Choice, job: Job) -> PlacedRun:
        """Record that a request is now sent to its endpoint."""
        with self._lock:
            load = self._find_load(choice.endpoint, self._clock.monotonic_s())
        return PlacedRun(self._clock, self._lock, load, choice, job, self._paces)

    def own_loads(self) -> dict[str, PeerLoad]:
        """Return the loads that this instance reports to peers, by endpoint id."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            loads = {
                load.endpoint.id: load.report(now_s) for load in self._loads.values()
            }
        return {name: load for name, load in loads.items() if not load.is_idle}

    def refresh_cold_shares(self) -> None:
        """Apply the current share of the request rate to the cold endpoints.

        Discards permits that exceed a share that became smaller. It must be called
        more often than a share can be lost and regained.
        """
        now_s = self._clock.monotonic_s()
        share = self._find_cold_share()
        with self._lock:
            for load in self._loads.values():
                load.cold_bucket.refresh(now_s, share)

    def apply_peer(self, name: str, loads: dict[str, PeerLoad]) -> None:
        """Apply the loads reported by another instance of the region."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for load in self._loads.values():
                load.set_peer_load(name, loads.get(load.endpoint.id, NO_LOAD), now_s)

    def estimate_s(self, service: str, tokens: int) -> float | None:
        """Return the expected time to the first byte of an uncached prompt.

        Returns:
            None if no endpoint of this region can run it, or all are unreachable.
        """
        job = Job(service, input_tokens=tokens)
        now_s = self._clock.monotonic_s()
        with self._lock:
            waits = [
                self._estimate_first_byte_s(load, job, tokens, now_s)
                + load.failure_penalty_s()
                for load in self._list_loads(service, now_s)
                if not load.is_blocked(now_s)
            ]
        return min(waits, default=None)

    def estimate_service_s(self, service: str) -> float:
        """Return the seconds for which a plain request occupies its slot.

        Learnt from the endpoints that were used here, also if they are gone.
        """
        with self._lock:
            learnt = [
                load.service_s
                for load in self._loads.values()
                if load.endpoint.service == service
            ]
        return min(learnt, default=INITIAL_SERVICE_S)

    def _list_candidates(
        self, service: str, now_s: float, excluded: frozenset[str]
    ) -> list[EndpointLoad]:
        return [
            load
            for load in self._list_loads(service, now_s)
            if load.endpoint.incarnation not in excluded
        ]

    def _select(self, scored: list[Scored], job: Job) -> Scored:
        if scored[0][1].work is not None:
            load = scored[0][2]
            if load.service.engine is not None:
                return choose_of_two(scored, job.max_first_byte_s, self._generator)
            cost_s = load.remaining.costs.estimate(job.route, job.size_bytes).mean_s
            if cost_s < REPORT_AGE_S:
                return choose_spread(scored, job.max_first_byte_s, self._generator)
        return min(scored, key=lambda item: item[0])

    def _score_all(
        self,
        loads: Sequence[EndpointLoad],
        preferred: list[str],
        job: Job,
        now_s: float,
    ) -> list[Scored]:
        bonuses = dict(zip(preferred, PREFERENCE_BONUSES_S, strict=False))
        find_pace = self._paces.find_service(job.service)
        return [
            (*self._score(load, job, now_s, bonuses, find_pace), load) for load in loads
        ]

    def _score(
        self,
        load: EndpointLoad,
        job: Job,
        now_s: float,
        bonuses: dict[str, float],
        find_pace: Callable[[str], Pace] | None,
    ) -> tuple[float, Choice]:
        uncached = max(
            0, job.input_tokens - load.prefix_history.count_cached(job.parts)
        )
        total = load.total_load(now_s)
        if find_pace is None:
            work = None
            expected_s = load.estimate_first_byte_s(job, uncached, total)
        else:
            pace = find_pace(load.endpoint.incarnation)
            work = load.estimate_work(job, uncached, total, pace, now_s)
            expected_s = work.expected_s
        cost_s = expected_s + load.failure_penalty_s()
        cost_s += self._weights.stream * load.estimate_stream_s(job, now_s)
        interference_s = load.estimate_interference_s(uncached, total)
        cost_s += self._weights.interference * interference_s
        cost_s -= bonuses.get(load.endpoint.id, 0.0)
        return cost_s, Choice(
            load.endpoint, expected_s, uncached, load.is_blocked(now_s), work=work
        )

    def _estimate_first_byte_s(
        self, load: EndpointLoad, job: Job, tokens: int, now_s: float
    ) -> float:
        total = load.total_load(now_s)
        endpoint = load.endpoint
        pace = self._paces.find(endpoint.incarnation, endpoint.service)
        if pace is None:
            return load.estimate_first_byte_s(job, tokens, total)
        return load.estimate_work(job, tokens, total, pace, now_s).expected_s

    def _list_sendable(self, service: str, now_s: float) -> list[EndpointLoad]:
        return [
            self._find_load(endpoint, now_s)
            for endpoint in self._catalog.endpoints()
            if endpoint.service == service
            and self._is_local(endpoint.data_centre)
            and self._catalog.may_send(endpoint)
        ]

    def _find_retry_after(self, service: str, now_s: float) -> timedelta:
        """Return when the first endpoint's pause ends, or the usual retry delay."""
        pauses_s = [
            self._permits.remaining_pause_s(load.endpoint.incarnation)
            for load in self._list_sendable(service, now_s)
        ]
        if not pauses_s or min(pauses_s) <= 0:
            return RETRY_AFTER
        return max(RETRY_AFTER, timedelta(seconds=min(pauses_s)))

    def _list_loads(self, service: str, now_s: float) -> list[EndpointLoad]:
        loads = self._list_sendable(service, now_s)
        for load in loads:
            load.log_silence_change(now_s)
        usable = [load for load in loads if self._is_usable(load, now_s)]
        return [load for load in usable if not load.is_blocked(now_s)] or usable

    def _is_usable(self, load: EndpointLoad, now_s: float) -> bool:
        incarnation = load.endpoint.incarnation
        return (
            self._is_warm_enough(load, now_s)
            and self._permits.may_send(incarnation, load.running)
            and self._permits.can_acquire(incarnation)
        )

    def _is_warm_enough(self, load: EndpointLoad, now_s: float) -> bool:
        if not load.is_cold(now_s):
            return True
        return load.cold_bucket.can_acquire(now_s, self._find_cold_share())

    def _find_load(self, endpoint: RegisteredEndpoint, now_s: float) -> EndpointLoad:
        load = self._loads.get(endpoint.id)
        if load is None or load.endpoint.incarnation != endpoint.incarnation:
            document = self._catalog.document
            services = document.services if document else {}
            service = services.get(endpoint.service, EndpointService(endpoint.service))
            stream_stats = self._service_stats.setdefault(
                endpoint.service, ServiceStreamStats()
            )
            costs = self._service_costs.setdefault(endpoint.service, RequestCosts())
            load = self._loads[endpoint.id] = EndpointLoad(
                endpoint, service, now_s, self._find_cold_share(), stream_stats, costs
            )
        load.endpoint = endpoint
        return load
