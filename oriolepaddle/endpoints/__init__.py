"""HTTP client for the endpoints that run requests."""

from oriolepaddle.endpoints.cancellation import Cancellation
from oriolepaddle.endpoints.request import ConnectionReuse, EndpointRequest
from oriolepaddle.endpoints.sink import AnswerSink
from oriolepaddle.endpoints.transport import EndpointTransport

__all__ = [
    "AnswerSink",
    "Cancellation",
    "ConnectionReuse",
    "EndpointRequest",
    "EndpointTransport",
]
