"""One request in the simulated fleet, from arrival to answer."""

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
MAX_ATTEMPTS = 3


class Exchange:
    """Routes a request, retries it after failures and records its answer.

    Args:
        fleet: The simulated fleet.
        arrival: The caller's request.
        request: The request for the routers.
    """

    def __init__(
        self, fleet: "Fleet", arrival: Arrival, request: RoutingRequest
    ) -> None:
        self._fleet = fleet
        self._arrival = arrival
        self._request = request
        self._data_centre = f"{arrival.region}-a"
        self._attempts = 0
        self._return_delay_s = 0.0
        self._handle: RequestHandle | None = None
        self._is_answered = False

    def start(self) -> None:
        """Route the request at an instance of the caller's data centre."""
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
            self._forward(decision.data_centre)

    def _forward(self, data_centre: str) -> None:
        delay_s = self._fleet.delay_s
        self._return_delay_s += delay_s
        hops = (*self._request.hops, self._data_centre)
        self._request = attrs.evolve(self._request, hops=hops)
        self._data_centre = data_centre
        self._fleet.record_forwarded(self._arrival, len(hops))
        router = self._fleet.pick_router(data_centre)
        self._fleet.loop.schedule(delay_s, self._route, router)

    def _send(self, router: Router, endpoint: Endpoint) -> None:
        self._attempts += 1
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
            self._fleet.record_first_token(self._arrival, self._return_delay_s)

    def _on_done(self) -> None:
        self._handle.finish(self._arrival.output_tokens, failed=False)

    def _on_failed(self, router: Router, endpoint: Endpoint) -> None:
        self._handle.finish(0, failed=True)
        router.record_endpoint_failure(endpoint.id)
        excluded = self._request.excluded | {endpoint.id}
        self._request = attrs.evolve(self._request, excluded=excluded)
        if self._is_answered:
            return
        if self._attempts >= MAX_ATTEMPTS:
            self._fleet.record_failure(self._arrival)
            return
        self._route(router)
