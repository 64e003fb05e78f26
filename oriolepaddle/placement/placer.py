"""Choosing an endpoint of this instance's region.

The load that this answers: long prompts with shared beginnings, more than the
engines of a region can read at its peak. Reading prompts is what binds, so
requests go where the least is left to read before their first event, and what
could not begin in time is refused at once.
"""

import threading
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta

import attrs

from oriolepaddle.catalog import Catalog, EndpointService, RegisteredEndpoint
from oriolepaddle.clock import Clock
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.placement.choice import Choice
from oriolepaddle.placement.homes import rank_homes
from oriolepaddle.placement.job import Job
from oriolepaddle.placement.load import EndpointLoad, PeerLoad
from oriolepaddle.placement.pace import ServicePace
from oriolepaddle.placement.prefix_source import find_prefix_source
from oriolepaddle.placement.run import PlacedRun
from oriolepaddle.placement.score import EndpointScore
from oriolepaddle.placement.weights import PlacementWeights

__all__ = ["Placer"]

HOME_BONUSES_S = (0.08, 0.05)
"""Time by which the first and second endpoint that a prompt's shared beginning
hashes to are preferred, so that instances that do not know of each other's
requests read it at the same endpoint; about the time of reading it anew."""
NO_LOAD = PeerLoad(0, 0)
RETURN_AFTER = timedelta(milliseconds=300)
"""A refused caller's pause: about the time in which a queue gets shorter."""


class Placer:
    """Knows the endpoints' load and chooses among them; thread-safe.

    Args:
        clock: The time.
        catalog: The endpoints.
        is_local: Whether a data centre stands in this instance's region.
        find_cold_share: Returns this instance's part of what a cold endpoint
            bears; the parts of a region's instances add up to at most 1.
        weights: What counts beside the time to the first byte.
    """

    def __init__(
        self,
        clock: Clock,
        catalog: Catalog,
        is_local: Callable[[str], bool],
        find_cold_share: Callable[[], float] = lambda: 1.0,
        weights: PlacementWeights | None = None,
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._is_local = is_local
        self._find_cold_share = find_cold_share
        self._weights = weights or PlacementWeights()
        self._lock = threading.Lock()
        self._loads: dict[str, EndpointLoad] = {}
        self._paces: dict[str, ServicePace] = {}

    def choose(self, job: Job, excluded: Iterable[str] = ()) -> Choice:
        """Return the endpoint that is expected to answer first.

        Args:
            job: The request.
            excluded: Lives of endpoints that failed it already.

        Raises:
            RefusedError: No endpoint may run it (`NO_ENDPOINT`), or none would
                begin within its patience (`OVERLOADED`).
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            loads = self._list_candidates(job.service, now_s, frozenset(excluded))
            if not loads:
                raise RefusedError(
                    f"no endpoint of {job.service} can run the request now",
                    code=ErrorCode.NO_ENDPOINT,
                    retry_after=RETURN_AFTER,
                )
            homes = rank_homes((load.endpoint.id for load in loads), job)
            weighed = self._weigh_all(loads, homes, job, now_s)
            _, choice, load = min(weighed, key=lambda item: item[0])
            if choice.expected_s > job.max_first_byte_s:
                raise RefusedError(
                    f"{job.service} would begin the answer in "
                    f"{choice.expected_s:.2f} s, "
                    f"later than {job.max_first_byte_s:.2f} s",
                    code=ErrorCode.OVERLOADED,
                    retry_after=RETURN_AFTER,
                )
            if load.is_cold(now_s):
                # It is taken here, so that two requests do not get the same.
                load.cold.take(now_s, self._find_cold_share())
            source = find_prefix_source(job, load, loads, homes, now_s)
        return attrs.evolve(choice, prefix_source=source)

    def explain(self, job: Job) -> tuple[EndpointScore, ...]:
        """Return how the endpoints compare for a request, the best first."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            scores = []
            loads = self._list_loads(job.service, now_s)
            homes = rank_homes((load.endpoint.id for load in loads), job)
            for cost_s, choice, load in self._weigh_all(loads, homes, job, now_s):
                total = load.total(now_s)
                scores.append(
                    EndpointScore(
                        endpoint=load.endpoint.id,
                        data_centre=load.endpoint.data_centre,
                        cost_s=round(cost_s, 4),
                        expected_s=round(choice.expected_s, 4),
                        uncached_tokens=choice.uncached_tokens,
                        running=total.running,
                        unread_tokens=total.prefill_tokens,
                        is_cold=load.is_cold(now_s),
                        is_blocked=load.is_blocked(now_s),
                    )
                )
        return tuple(sorted(scores, key=lambda score: score.cost_s))

    def has_other(self, service: str, excluded: Iterable[str]) -> bool:
        """Return whether an endpoint that is not in doubt could run a request.

        Args:
            service: The service.
            excluded: Lives of endpoints that do not count.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            loads = self._list_candidates(service, now_s, frozenset(excluded))
            return any(not load.is_blocked(now_s) for load in loads)

    def start(self, choice: Choice, job: Job) -> PlacedRun:
        """Note that a request is now sent to its endpoint."""
        with self._lock:
            load = self._find_load(choice.endpoint, self._clock.monotonic_s())
        return PlacedRun(self._clock, self._lock, load, choice, job)

    def own_loads(self) -> dict[str, PeerLoad]:
        """Return what this instance tells of its requests, by the endpoint's id."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            loads = {
                load.endpoint.id: load.tell(now_s) for load in self._loads.values()
            }
        return {name: load for name, load in loads.items() if not load.is_idle}

    def refresh_cold_shares(self) -> None:
        """Give up what was held with a part of the cold rate that has gone.

        It is to be called more often than a part can go and come back.
        """
        now_s = self._clock.monotonic_s()
        share = self._find_cold_share()
        with self._lock:
            for load in self._loads.values():
                load.cold.renew(now_s, share)

    def apply_peer(self, name: str, loads: dict[str, PeerLoad]) -> None:
        """Take in what another instance of the region has running."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for load in self._loads.values():
                load.set_peer(name, loads.get(load.endpoint.id, NO_LOAD), now_s)

    def estimate_s(self, service: str, tokens: int) -> float | None:
        """Return the seconds to a first byte for a prompt that is not cached.

        Returns:
            None if no endpoint of this region can run it.
        """
        job = Job(service, input_tokens=tokens)
        now_s = self._clock.monotonic_s()
        with self._lock:
            waits = [
                load.expect_s(job, tokens, load.total(now_s)) + load.penalty_s()
                for load in self._list_loads(service, now_s)
            ]
        return min(waits, default=None)

    def _list_candidates(
        self, service: str, now_s: float, excluded: frozenset[str]
    ) -> list[EndpointLoad]:
        return [
            load
            for load in self._list_loads(service, now_s)
            if load.endpoint.incarnation not in excluded
        ]

    def _weigh_all(
        self, loads: Sequence[EndpointLoad], homes: list[str], job: Job, now_s: float
    ) -> list[tuple[float, Choice, EndpointLoad]]:
        bonuses = dict(zip(homes, HOME_BONUSES_S, strict=False))
        return [(*self._weigh(load, job, now_s, bonuses), load) for load in loads]

    def _weigh(
        self,
        load: EndpointLoad,
        job: Job,
        now_s: float,
        bonuses: dict[str, float],
    ) -> tuple[float, Choice]:
        uncached = max(0, job.input_tokens - load.history.count_cached(job.parts))
        total = load.total(now_s)
        expected_s = load.expect_s(job, uncached, total)
        cost_s = expected_s + load.penalty_s()
        cost_s += self._weights.stream * load.stream_s(job, now_s)
        disturbance_s = load.disturbance_s(uncached, total)
        cost_s += self._weights.interference * disturbance_s
        cost_s -= bonuses.get(load.endpoint.id, 0.0)
        return cost_s, Choice(
            load.endpoint, expected_s, uncached, load.is_blocked(now_s)
        )

    def _list_loads(self, service: str, now_s: float) -> list[EndpointLoad]:
        loads = [
            self._find_load(endpoint, now_s)
            for endpoint in self._catalog.endpoints()
            if endpoint.service == service
            and self._is_local(endpoint.data_centre)
            and self._catalog.may_send(endpoint)
        ]
        for load in loads:
            load.note_silence(now_s)
        usable = [load for load in loads if self._is_usable(load, now_s)]
        return [load for load in usable if not load.is_blocked(now_s)] or usable

    def _is_usable(self, load: EndpointLoad, now_s: float) -> bool:
        if not load.is_cold(now_s):
            return True
        return load.cold.is_open(now_s, self._find_cold_share())

    def _find_load(self, endpoint: RegisteredEndpoint, now_s: float) -> EndpointLoad:
        held = self._loads.get(endpoint.id)
        if held is None or held.endpoint.incarnation != endpoint.incarnation:
            document = self._catalog.document
            services = document.services if document else {}
            service = services.get(endpoint.service, EndpointService(endpoint.service))
            pace = self._paces.setdefault(endpoint.service, ServicePace())
            held = self._loads[endpoint.id] = EndpointLoad(
                endpoint, service, now_s, self._find_cold_share(), pace
            )
        held.endpoint = endpoint
        return held
