"""Forwards requests to instances of other data centres."""

from typing import Protocol

from oriolepaddle.clock import Clock
from oriolepaddle.endpoints import EndpointRequest, EndpointTransport
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.gateway.caller_request import CallerRequest
from oriolepaddle.gateway.forwarding import ForwardedRequest, ForwardingSigner
from oriolepaddle.gateway.relay import AnswerRelay
from oriolepaddle.membership import Suggestion

__all__ = ["Forwarder", "InstanceFinder"]


class InstanceFinder(Protocol):
    """Finds the instances of a data centre or a region."""

    def suggest_instances(self, place: str | None, count: int) -> Suggestion:
        """Return up to `count` instances, in order of preference.

        Args:
            place: A data centre or a region, or None for any.
            count: The maximum number of instances.
        """
        ...


class Forwarder:
    """Forwards requests to an instance of another data centre.

    A request that was already forwarded is refused.

    Args:
        instance: This instance's id.
        clock: The clock that deadlines refer to.
        finder: Finds the instance to forward to.
        transport: Sends the request to that instance.
        signer: Signs the request.
        stall_timeout_s: The longest time without a byte of the response, in seconds.
    """

    def __init__(
        self,
        instance: str,
        clock: Clock,
        finder: InstanceFinder,
        transport: EndpointTransport,
        signer: ForwardingSigner,
        stall_timeout_s: float,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._finder = finder
        self._transport = transport
        self._signer = signer
        self._stall_timeout_s = stall_timeout_s

    def forward(
        self, request: CallerRequest, data_centre: str, relay: AnswerRelay
    ) -> None:
        """Forward a request and relay the response.

        Raises:
            RefusedError: The request was forwarded before, or no instance of the
                data centre is available.
            EndpointError: The instance was unreachable or failed.
        """
        if request.hops:
            raise RefusedError(
                "the request has already been forwarded once", code=ErrorCode.HOP_LIMIT
            )
        instances = self._finder.suggest_instances(data_centre, 1).instances
        if not instances:
            raise RefusedError(
                f"no instance of data centre {data_centre} is available",
                code=ErrorCode.NO_ENDPOINT,
            )
        self._transport.run(
            instances[0].caller_address, self._make_request(request), relay
        )
        relay.complete()

    def _make_request(self, request: CallerRequest) -> EndpointRequest:
        statement = ForwardedRequest(
            hops=(self._instance,),
            key_digest=request.key.digest if request.key else "",
            deadline_left_s=max(0.0, request.deadline_s - self._clock.monotonic_s()),
        )
        signed_headers = self._signer.sign(
            statement, request.id, request.caller_path, request.body
        )
        return EndpointRequest(
            id=request.id,
            method=request.method,
            path=request.caller_path,
            headers=request.headers + signed_headers,
            body=request.body,
            is_idempotent=request.is_idempotent,
            first_byte_timeout_s=request.route.first_byte_s,
            stall_timeout_s=self._stall_timeout_s,
            deadline_s=request.deadline_s,
        )
