"""The interface to the names on the wire."""

from typing import Protocol

from werkzeug.wrappers import Request

from oriolepaddle.catalog import RegisteredEndpoint
from oriolepaddle.edge.answer import EndpointAnswer
from oriolepaddle.edge.request import EdgeRequest

__all__ = ["EdgeProtocol"]

Headers = tuple[tuple[str, str], ...]


class EdgeProtocol(Protocol):
    """Translates between HTTP messages and the project's types."""

    def read_request(self, request: Request, arrived_s: float) -> EdgeRequest:
        """Return a caller's request.

        Raises:
            MalformedRequestError: A field cannot be understood.
        """
        ...

    def write_endpoint_headers(
        self,
        request: EdgeRequest,
        endpoint: RegisteredEndpoint,
        organisation: str | None,
        left_s: float,
        last_event_id: str | None,
        urgency: int | None = None,
        prefix_source: RegisteredEndpoint | None = None,
    ) -> Headers:
        """Return the header fields of a request to an endpoint.

        Args:
            request: The caller's request.
            endpoint: The only endpoint that may run it.
            organisation: For whom it runs, or None.
            left_s: Seconds until the answer must be whole.
            last_event_id: The event after which a stream goes on, or None.
            urgency: The rank at an engine, the lowest first, or None.
            prefix_source: Another endpoint from which an engine may fetch what that
                one holds of the prompt, or None.
        """
        ...

    def write_peer_headers(
        self, request: EdgeRequest, age_s: float, last_event_id: str | None, runs: int
    ) -> Headers:
        """Return the header fields of a request that another instance serves.

        Args:
            request: The caller's request.
            age_s: Seconds since the caller's request was whole.
            last_event_id: The event after which a stream goes on, or None.
            runs: Endpoints that may have run it already.
        """
        ...

    def read_answer(
        self, request_id: str, status: int, headers: Headers
    ) -> EndpointAnswer:
        """Return the head of an endpoint's answer."""
        ...
