import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.errors import AnswerMalformedError
from oriolepaddle.streams import SseParser


def parse(chunks, max_event_bytes=1000):
    parser = SseParser(max_event_bytes)
    events = [event for chunk in chunks for event in parser.feed(chunk)]
    last = parser.finish()
    return events + ([last] if last else [])


class TestSseParser:
    def test_fields_are_parsed(self):
        stream = b"id: 7\r\nevent: note\r\ndata: a\r\ndata:b\r\n\r\n: ping\n\n"
        first, second = parse([stream])
        assert (first.id, first.type, first.data) == ("7", "note", b"a\nb")
        assert (second.has_data, second.raw) == (False, b": ping\n\n")

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.lists(st.sampled_from([b"data: a", b"data:", b": x", b"id: 1"]), min_size=1),
        st.sampled_from([b"\n", b"\r\n", b"\r"]),
        st.lists(st.integers(0, 200)),
    )
    def test_events_are_independent_of_chunk_bounds(self, lines, end, cuts):
        text = b"".join(line + end + end for line in lines)
        bounds = sorted({0, len(text), *(cut for cut in cuts if cut < len(text))})
        chunks = [text[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
        events = parse(chunks)
        assert events[:-1] == parse([text])[:-1]
        assert len(events) == len(lines)
        last_event = lines[-1] + end + end
        assert b"".join(event.raw for event in events[:-1]) + last_event == text

    # An event without its end, and one whose blank line makes it too large.
    @pytest.mark.parametrize(
        "stream", [b"data: " + b"x" * 1000, b"x" * 998 + b"\n\n\n"]
    )
    def test_event_size_is_bounded(self, stream):
        with pytest.raises(AnswerMalformedError):
            parse([b"data: a\n\n", stream], max_event_bytes=998)
