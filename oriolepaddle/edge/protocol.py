"""The interface for encoding and decoding HTTP headers."""

from typing import Protocol

from werkzeug.wrappers import Request

from oriolepaddle.catalog import RegisteredEndpoint
from oriolepaddle.edge.answer import EndpointAnswer
from oriolepaddle.edge.request import EdgeRequest

__all__ = ["EdgeProtocol"]

Headers = tuple[tuple[str, str], ...]


class EdgeProtocol(Protocol):
    """Translates between HTTP messages and the gateway's types."""

    def read_request(self, request: Request, arrived_s: float) -> EdgeRequest:
        """Return a caller's request.

        Raises:
            MalformedRequestError: A header field is invalid.
        """
        ...

    def write_endpoint_headers(
        self,
        request: EdgeRequest,
        endpoint: RegisteredEndpoint,
        organisation: str | None,
        remaining_s: float,
        last_event_id: str | None,
        urgency: int | None = None,
        prefix_source: RegisteredEndpoint | None = None,
    ) -> Headers:
        """Return the header fields of a request to an endpoint.

        Args:
            request: The caller's request.
            endpoint: The only endpoint that may run the request.
            organisation: The id of the caller's organisation, or None.
            remaining_s: Seconds until the response must be complete.
            last_event_id: The event after which a stream is resumed, or None.
            urgency: The rank in the engine's queue, the lowest first, or None.
            prefix_source: Another endpoint from which the engine may fetch the
                cached part of the prompt, or None.
        """
        ...

    def write_peer_headers(
        self, request: EdgeRequest, age_s: float, last_event_id: str | None, runs: int
    ) -> Headers:
        """Return the header fields of a request that is forwarded to an instance.

        Args:
            request: The caller's request.
            age_s: Seconds since the caller's request was received in full.
            last_event_id: The event after which a stream is resumed, or None.
            runs: The number of endpoints that may have run the request already.
        """
        ...

    def read_answer(
        self, request_id: str, status: int, headers: Headers
    ) -> EndpointAnswer:
        """Return the decoded status and headers of a response."""
        ...
