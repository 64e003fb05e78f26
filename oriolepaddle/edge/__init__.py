"""The HTTP front end: serves requests on routes selected by host and path."""

from oriolepaddle.edge.answer import AnswerKind, EndpointAnswer
from oriolepaddle.edge.application import EdgeApplication
from oriolepaddle.edge.context import EdgeContext
from oriolepaddle.edge.protocol import EdgeProtocol
from oriolepaddle.edge.request import EdgeRequest
from oriolepaddle.edge.resolver import InstanceResolver

__all__ = [
    "AnswerKind",
    "EdgeApplication",
    "EdgeContext",
    "EdgeProtocol",
    "EdgeRequest",
    "EndpointAnswer",
    "InstanceResolver",
]
