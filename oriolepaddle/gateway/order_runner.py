"""Runs orders at the endpoints of this data centre."""

from collections.abc import Callable

from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import Endpoint, Organisation, Route
from oriolepaddle.endpoints import EndpointRequest
from oriolepaddle.errors import (
    AuthenticationError,
    EndpointRefusedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    ErrorCode,
    OriolepaddleError,
    RefusedError,
)
from oriolepaddle.gateway.collector import AnswerCollector
from oriolepaddle.gateway.context import ServingContext
from oriolepaddle.gateway.parser import SERVICE_PREFIX, find_service
from oriolepaddle.orders import OrderAnswer, OrderRequest
from oriolepaddle.routing import RoutingRequest
from oriolepaddle.routing.residency import AllowedRegions

__all__ = ["GatewayOrderRunner"]


class GatewayOrderRunner:
    """An `OrderRunner` that sends each order to one endpoint, once.

    Args:
        context: The components that serve requests.
        config: The merged configuration.
    """

    def __init__(self, context: ServingContext, config: ConfigState) -> None:
        self._context = context
        self._config = config

    def check(self, request: OrderRequest) -> None:
        """Check the key, the residency and the endpoints; see `OrderRunner.check`."""
        organisation = self._find_organisation(request)
        self._choose(self._make_routing(request, organisation))

    def may_run_in(self, request: OrderRequest, data_centre: str) -> bool:
        """Return whether an order may be run in a data centre."""
        try:
            organisation = self._find_organisation(request)
            routing = self._make_routing(request, organisation)
        except RefusedError:
            return False
        return AllowedRegions(routing, self._config).contains(data_centre)

    def run(self, request: OrderRequest, recheck: Callable[[], None]) -> OrderAnswer:
        """Send an order to one endpoint; see `OrderRunner.run`."""
        organisation = self._find_organisation(request)
        routing = self._make_routing(request, organisation)
        endpoint = self._choose(routing)

        def _check_before_send() -> None:
            recheck()
            self._find_organisation(request)
            if not self._context.router.is_allowed(endpoint.id, routing):
                raise EndpointRefusedError(
                    f"the order may no longer be sent to {endpoint.id}"
                )

        collector = AnswerCollector(
            request.request_id, _check_before_send, self._context.buffers
        )
        handle = self._context.router.start(routing, endpoint)
        is_failed = True
        try:
            self._context.transport.run(
                endpoint.address, self._make_request(request, routing.route), collector
            )
            is_failed = False
            return collector.make_answer()
        except OriolepaddleError as error:
            if isinstance(error, (EndpointUnreachableError, EndpointTimeoutError)):
                self._context.router.record_endpoint_failure(endpoint.id)
            raise
        finally:
            handle.finish(0, is_failed)
            collector.discard()

    def _choose(self, routing: RoutingRequest) -> Endpoint:
        try:
            endpoint = self._context.router.choose(routing, is_admitted=True).endpoint
        except RefusedError as error:
            if error.code is ErrorCode.RESIDENCY_UNSERVABLE:
                raise
            raise _make_order_refusal() from error
        if endpoint is None:
            raise _make_order_refusal()
        return endpoint

    def _find_organisation(self, request: OrderRequest) -> Organisation | None:
        if not request.key_digest and self._find_route(request).open:
            return None
        caller = self._context.authenticator.find_caller(request.key_digest)
        if caller.organisation.id != request.organisation:
            raise AuthenticationError("the API key now belongs to another organisation")
        return caller.organisation

    def _find_route(self, request: OrderRequest) -> Route:
        route = self._config.route(find_service(request.path).partition("?")[0])
        if route is None:
            raise RefusedError(
                f"no route matches {request.path}", code=ErrorCode.ROUTE_UNKNOWN
            )
        return route

    def _make_routing(
        self, request: OrderRequest, organisation: Organisation | None
    ) -> RoutingRequest:
        return RoutingRequest(
            id=request.request_id,
            route=self._find_route(request),
            organisation=organisation,
            prompt_tokens=0,
            output_tokens=0,
            prefix_hashes=(),
            deadline_s=request.deadline_s,
            # The issuer of an order never forwards it.
            hops=request.hops or ("issuer",),
        )

    def _make_request(self, request: OrderRequest, route: Route) -> EndpointRequest:
        path = request.path[len(SERVICE_PREFIX) + len(route.id) :]
        if not path.startswith("/"):
            path = "/" + path
        return EndpointRequest(
            id=request.request_id,
            method=request.method,
            path=path,
            headers=request.headers,
            body=request.body,
            is_idempotent=False,
            first_byte_timeout_s=route.first_byte_s,
            stall_timeout_s=self._context.stall_timeout_s,
            deadline_s=request.deadline_s,
        )


def _make_order_refusal() -> RefusedError:
    return RefusedError(
        "no endpoint of this data centre can run the order at present",
        code=ErrorCode.NO_ENDPOINT,
    )
