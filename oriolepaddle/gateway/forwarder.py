"""Passing requests on to other data centres."""

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
    """Tells which instances serve a data centre."""

    def suggest_instances(self, place: str | None, count: int) -> Suggestion:
        """Return up to `count` instances, the best first.

        Args:
            place: A data centre or a region; None for anywhere.
            count: The most instances.
        """
        ...


class Forwarder:
    """Sends a request to an instance of another data centre, once.

    Args:
        instance: This instance's id.
        clock: Tells the time that is left.
        finder: Finds the other instance.
        transport: Reaches it.
        signer: Signs the request.
        stall_timeout_s: Seconds without a byte after which an answer fails.
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
        """Pass a request on and relay the answer.

        Raises:
            RefusedError: No instance of the data centre is known.
            EndpointError: The instance could not be reached or failed.
        """
        if request.hops:
            raise RefusedError(
                "the request was passed on before", code=ErrorCode.HOP_LIMIT
            )
        found = self._finder.suggest_instances(data_centre, 1).instances
        if not found:
            raise RefusedError(
                f"no instance of {data_centre} is known", code=ErrorCode.NO_ENDPOINT
            )
        self._transport.run(found[0].caller_address, self._make(request), relay)
        relay.complete()

    def _make(self, request: CallerRequest) -> EndpointRequest:
        forwarded = ForwardedRequest(
            hops=(self._instance,),
            key_digest=request.key.digest if request.key else "",
            deadline_left_s=max(0.0, request.deadline_s - self._clock.monotonic_s()),
        )
        signed = self._signer.sign(
            forwarded, request.id, request.caller_path, request.body
        )
        return EndpointRequest(
            id=request.id,
            method=request.method,
            path=request.caller_path,
            headers=request.headers + signed,
            body=request.body,
            is_idempotent=request.is_idempotent,
            first_byte_timeout_s=request.route.first_byte_s,
            stall_timeout_s=self._stall_timeout_s,
            deadline_s=request.deadline_s,
        )
