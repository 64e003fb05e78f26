"""Response streams: parsing, checking, resuming and marking of truncation."""

from oriolepaddle.streams._body import EventBody, RawBody
from oriolepaddle.streams.check import AnswerCheck
from oriolepaddle.streams.event import SseEvent
from oriolepaddle.streams.limits import END_MARKER, StreamLimits
from oriolepaddle.streams.marker import make_truncation_event
from oriolepaddle.streams.parser import SseParser
from oriolepaddle.streams.source import (
    ChunkSource,
    ChunkStream,
    StreamHead,
    StreamPosition,
)
from oriolepaddle.streams.stream import ResumableStream

__all__ = [
    "END_MARKER",
    "AnswerCheck",
    "ChunkSource",
    "ChunkStream",
    "EventBody",
    "RawBody",
    "ResumableStream",
    "SseEvent",
    "SseParser",
    "StreamHead",
    "StreamLimits",
    "StreamPosition",
    "make_truncation_event",
]
