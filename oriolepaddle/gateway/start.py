"""Finds an endpoint at which a request may start, waiting if it is a suspect."""

import threading
from datetime import timedelta

import attrs

from oriolepaddle.config.model import Endpoint
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.gateway.caller_request import CallerRequest
from oriolepaddle.gateway.context import ServingContext
from oriolepaddle.quarantine import StartAction
from oriolepaddle.routing import RoutingRequest, hash_prompt

__all__ = [
    "find_startable_endpoint",
    "without_forwarding",
    "make_routing_request",
    "wait_for_turn",
    "wait_to_resume",
]

MIN_RECHECK_DELAY = timedelta(milliseconds=10)


def make_routing_request(request: CallerRequest) -> RoutingRequest:
    """Return the routing parameters of a request."""
    return RoutingRequest(
        id=request.id,
        route=request.route,
        organisation=request.organisation,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        prefix_hashes=hash_prompt(request.prompt_text),
        deadline_s=request.deadline_s,
        hops=request.hops,
    )


def without_forwarding(routing: RoutingRequest) -> RoutingRequest:
    """Return a request that this instance may not forward."""
    return attrs.evolve(routing, hops=routing.hops or ("self",))


def find_startable_endpoint(
    context: ServingContext,
    routing: RoutingRequest,
    fingerprint: bytes,
    excluded: frozenset[str],
) -> Endpoint:
    """Return the best endpoint of this data centre at which a request may start.

    Endpoints that failed it before are used again only if there is no other. A
    request that is suspected of crashing endpoints waits for its turn.

    Args:
        context: The components that serve requests.
        routing: The request.
        fingerprint: The request's fingerprint.
        excluded: Endpoints that failed or refused the request before.

    Raises:
        RefusedError: There is no such endpoint. The request was not run.
    """
    avoided: frozenset[str] = frozenset()
    while True:
        endpoint = _choose(context, routing, excluded | avoided, excluded)
        is_only = endpoint.id in avoided
        advice = context.quarantine.advise_start(
            fingerprint, endpoint.id, is_only_candidate=is_only
        )
        if advice.action is StartAction.START or is_only:
            if advice.action is not StartAction.WAIT:
                return endpoint
        if advice.action is StartAction.WAIT:
            wait_for_turn(context, routing, advice.delay)
            continue
        avoided |= {endpoint.id}


def wait_to_resume(
    context: ServingContext,
    routing: RoutingRequest,
    fingerprint: bytes,
    endpoint: Endpoint,
) -> Endpoint:
    """Wait until a broken stream may be resumed at an endpoint, and return it.

    Only the engine that began a response can resume it, so a request that became a
    suspect when the stream broke waits for its turn at that engine.

    Raises:
        RefusedError: The request is quarantined, or its deadline would pass first.
    """
    while True:
        advice = context.quarantine.advise_start(
            fingerprint, endpoint.id, is_only_candidate=True
        )
        if advice.action is not StartAction.WAIT:
            return endpoint
        wait_for_turn(context, routing, advice.delay)


def _choose(
    context: ServingContext,
    routing: RoutingRequest,
    excluded: frozenset[str],
    failed: frozenset[str],
) -> Endpoint:
    local = without_forwarding(routing)
    for names in (excluded, failed, frozenset()):
        try:
            chosen = context.router.choose(
                attrs.evolve(local, excluded=names), is_admitted=True
            )
        except RefusedError:
            continue
        if chosen.endpoint is not None:
            return chosen.endpoint
    raise RefusedError(
        "no endpoint of this data centre can run the request at present",
        code=ErrorCode.NO_ENDPOINT,
    )


def wait_for_turn(
    context: ServingContext, routing: RoutingRequest, delay: timedelta
) -> None:
    """Wait until a suspect may try again to start.

    Raises:
        RefusedError: The deadline would pass first. The request was not run.
    """
    delay = max(delay, MIN_RECHECK_DELAY)
    remaining_s = routing.deadline_s - context.clock.monotonic_s()
    if remaining_s <= delay.total_seconds():
        raise RefusedError(
            "the request cannot start before its deadline",
            code=ErrorCode.DEADLINE_UNREACHABLE,
        )
    context.clock.wait(threading.Event(), delay)
