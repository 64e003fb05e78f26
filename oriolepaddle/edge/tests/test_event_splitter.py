from hypothesis import given, settings, strategies as st

from oriolepaddle.edge.event_splitter import EventSplitter

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 8)]


class TestEventSplitter:
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(st.integers(1, 30), max_size=20))
    def test_returns_complete_events_for_any_split_of_the_data(self, sizes):
        data = b"".join(EVENTS)
        splitter = EventSplitter()
        output = b""
        for size in [*sizes, len(data)]:
            piece, data = data[:size], data[size:]
            output += splitter.feed(piece)
            assert output.endswith(b"\n\n") or not output
        assert output == b"".join(EVENTS)
        assert splitter.is_between_events
        assert (splitter.events, splitter.last_id) == (7, "7")

    def test_buffers_an_incomplete_event(self):
        splitter = EventSplitter()
        assert splitter.feed(EVENTS[0] + EVENTS[1][:5]) == EVENTS[0]
        assert not splitter.is_between_events
        splitter.drop_partial()
        assert splitter.feed(EVENTS[1]) == EVENTS[1]
        assert splitter.last_id == "2"

    def test_accepts_crlf_line_ends(self):
        splitter = EventSplitter()
        event = b"id: 3\r\ndata: x\r\n\r\n"
        assert splitter.feed(event) == event
        assert splitter.last_id == "3"
