import threading
from datetime import timedelta

import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.clock import ManualClock
from oriolepaddle.web.chunks import find_chunks
from oriolepaddle.web.turns import ParsingTurns

BODIES = st.lists(st.binary(min_size=1, max_size=300), max_size=8)


class TestChunkRun:
    # Guards against framing that is read as content.
    @settings(derandomize=True)
    @given(BODIES, st.integers(0, 400))
    def test_has_the_complete_chunks_of_any_cut(self, parts, cut):
        chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
        data = (b"".join(chunks) + b"0\r\n\r\n")[:cut]
        run = find_chunks(data)
        assert run.content == b"".join(parts[: run.count])
        assert run.size == sum(map(len, chunks[: run.count]))
        if run.count < len(parts):
            assert len(data) < run.size + len(chunks[run.count])

    @pytest.mark.parametrize("size", [b"+1", b"0x1", b"1_0", b" 1", b"1;a", b"g", b""])
    def test_ends_at_a_size_that_is_not_plain(self, size):
        assert find_chunks(b"1\r\na\r\n" + size + b"\r\nb\r\n").count == 1


class TestParsingTurns:
    # Guards against tiny chunks that take the time of all other requests.
    def test_senders_of_tiny_chunks_share_the_rate(self):
        turns = ParsingTurns(ManualClock(), chunks_per_s=1000)
        turns.count(1)
        assert [turns.find_delay(500) for _ in range(3)] == [timedelta(0)] * 3
        turns.count(1)
        delays = [turns.find_delay(500).total_seconds() for _ in range(3)]
        assert delays == [0, 0.5, 1]
        turns.count(-1)
        assert turns.find_delay(500) == timedelta(0)

    def test_large_chunks_do_not_wait(self):
        turns = ParsingTurns(ManualClock(), chunks_per_s=1)
        turns.count(2)
        with turns.enter(threading.Event()) as sender:
            for _ in range(3):
                sender.wait(10, 10 * 256)
            assert not sender.is_counted
        assert turns.delayed == 0
