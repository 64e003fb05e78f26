"""Measurements of the parser and the checks of a stream."""

from collections.abc import Callable, Iterator

import attrs

from oriolepaddle.clock import SystemClock
from oriolepaddle.streams import (
    AnswerCheck,
    ResumableStream,
    SseParser,
    StreamHead,
    StreamPosition,
)

__all__ = ["StepCost", "measure_costs"]

REQUEST_ID = "r"
MAX_EVENT_BYTES = 262_144


@attrs.frozen
class StepCost:
    """The mean time of one step for one event.

    Attributes:
        step: Name of the measured step.
        microseconds: Mean wall time for one event in microseconds.
    """

    step: str
    microseconds: float


class _FixedSource:
    """A chunk source with one connection that yields one event per chunk."""

    head = StreamHead(request_id=REQUEST_ID, is_event_stream=True)

    def __init__(self, events: list[bytes]) -> None:
        self._events = events

    def open(self, position: StreamPosition) -> "_FixedSource":
        """Return this object as the only connection."""
        return self

    def chunks(self) -> Iterator[bytes]:
        """Yield the events."""
        yield from self._events

    def close(self) -> None:
        """Do nothing."""
        return


def measure_costs(events: int) -> list[StepCost]:
    """Return the mean time for an event in each step."""
    first = _make_events(events, '{"id":"answer-1","text":"%s"}')
    last = _make_events(events, '{"text":"%s","id":"answer-1"}')
    return [
        _measure_step("parse", lambda: _parse(first), events),
        _measure_step(
            "parse, check, count (id first)", lambda: _read_stream(first), events
        ),
        _measure_step(
            "parse, check, count (id last)", lambda: _read_stream(last), events
        ),
        _measure_step("id check alone (id first)", _make_check(first), events),
        _measure_step("id check alone (id last)", _make_check(last), events),
    ]


def _make_events(count: int, template: str) -> list[bytes]:
    data = [template % f"token {i} of an answer" for i in range(count - 1)] + ["[DONE]"]
    return [f"data: {event_data}\n\n".encode() for event_data in data]


def _parse(events: list[bytes]) -> None:
    parser = SseParser(MAX_EVENT_BYTES)
    for chunk in events:
        for _ in parser.feed(chunk):
            continue


def _read_stream(events: list[bytes]) -> None:
    stream = ResumableStream(REQUEST_ID, _FixedSource(events))
    stream.open()
    for _ in stream.chunks():
        continue


def _make_check(events: list[bytes]) -> Callable[[], None]:
    check = AnswerCheck(REQUEST_ID, needs_request_id=True)
    parser = SseParser(MAX_EVENT_BYTES)
    parsed = [event for chunk in events for event in parser.feed(chunk)]

    def work() -> None:
        """Check each event."""
        for event in parsed:
            check.check_event(event)

    return work


def _measure_step(step: str, work: Callable[[], None], events: int) -> StepCost:
    clock = SystemClock()
    started_s = clock.monotonic_s()
    work()
    return StepCost(step, (clock.monotonic_s() - started_s) / events * 1e6)
