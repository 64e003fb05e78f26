"""One request on its way through the simulated fleet."""

from typing import TYPE_CHECKING

import attrs

from experiments.routing.arrival import Arrival
from experiments.simulation import Job
from oriolepaddle.config.model import Endpoint
from oriolepaddle.errors import RefusedError
from oriolepaddle.routing import RequestHandle, Router, RoutingRequest

if TYPE_CHECKING:
    from experiments.routing.fleet import Fleet

__all__ = ["Exchange"]

CONNECT_FAILURE_S = 0.05
MAX_TRIES = 3


class Exchange:
    """A request that is routed, retried on a failure, and answered.

    Args:
        fleet: The simulated fleet.
        arrival: The caller's request.
        request: The request as routers see it.
    """

    def __init__(
        self, fleet: "Fleet", arrival: Arrival, request: RoutingRequest
    ) -> None:
        self._fleet = fleet
        self._arrival = arrival
        self._request = request
        self._data_centre = f"{arrival.region}-a"
        self._tries = 0
        self._way_back_s = 0.0
        self._handle: RequestHandle | None = None
        self._is_answered = False

    def begin(self) -> None:
        """Let an instance of the caller's data centre route the request."""
        self._route(self._fleet.pick_router(self._data_centre))

    def _route(self, router: Router) -> None:
        try:
            decision = router.choose(self._request)
        except RefusedError as error:
            self._fleet.record_refusal(self._arrival, error.code.code)
            return
        if decision.endpoint is not None:
            self._send(router, decision.endpoint)
        else:
            self._pass_on(decision.data_centre)

    def _pass_on(self, data_centre: str) -> None:
        delay_s = self._fleet.delay_s
        self._way_back_s += delay_s
        hops = (*self._request.hops, self._data_centre)
        self._request = attrs.evolve(self._request, hops=hops)
        self._data_centre = data_centre
        self._fleet.record_sent_away(self._arrival, len(hops))
        router = self._fleet.pick_router(data_centre)
        self._fleet.loop.schedule(delay_s, self._route, router)

    def _send(self, router: Router, endpoint: Endpoint) -> None:
        self._tries += 1
        self._fleet.record_served(self._arrival, endpoint)
        self._handle = router.start(self._request, endpoint)
        job = Job(
            self._arrival.prompt_tokens,
            self._arrival.output_tokens,
            self._arrival.prefix_hashes,
            on_first_token=self._on_first_token,
            on_done=self._on_done,
            on_failed=lambda: self._on_failed(router, endpoint),
        )
        if not self._fleet.engines[endpoint.id].submit(job):
            loop = self._fleet.loop
            loop.schedule(CONNECT_FAILURE_S, self._on_failed, router, endpoint)

    def _on_first_token(self) -> None:
        self._handle.record_first_token()
        if not self._is_answered:
            self._is_answered = True
            self._fleet.record_first_token(self._arrival, self._way_back_s)

    def _on_done(self) -> None:
        self._handle.finish(self._arrival.output_tokens, failed=False)

    def _on_failed(self, router: Router, endpoint: Endpoint) -> None:
        self._handle.finish(0, failed=True)
        router.record_endpoint_failure(endpoint.id)
        excluded = self._request.excluded | {endpoint.id}
        self._request = attrs.evolve(self._request, excluded=excluded)
        if self._is_answered:
            return
        if self._tries >= MAX_TRIES:
            self._fleet.record_failure(self._arrival)
            return
        self._route(router)
