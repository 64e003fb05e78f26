import pytest
from hypothesis import given, strategies as st

from oriolepaddle.answers import ChunkedBody
from oriolepaddle.answers.chunks import MAX_FRAMING_BYTES
from oriolepaddle.errors import AnswerMalformedError, Outcome

SOUND = {
    "plain": b"3\r\nabc\r\n0\r\n\r\n",
    "extensions": b'1;a=b\r\na\r\n2;c="d;e"\r\nbc\r\n0;f\r\n\r\n',
    "blanks after a size": b"3 \t\r\nabc\r\n0 \r\n\r\n",
    "blanks before an extension": b"3 \t;a=b\r\nabc\r\n0\r\n\r\n",
    "blanks in an extension": b"3 ; a\t= b ;c\r\nabc\r\n0; d\r\n\r\n",
    "quoted extension": b'3; a="b ; \\" = c" ;d\r\nabc\r\n0\r\n\r\n',
    "trailers": b"3\r\nabc\r\n0\r\nA: b\r\nC: d\r\n\r\n",
    "zeros": b"0003\r\nabc\r\n000\r\n\r\n",
}
BROKEN = {
    "letter after the size": b"3x\r\nabc\r\n0\r\n\r\n",
    "sign": b"+3\r\nabc\r\n0\r\n\r\n",
    "prefix": b"0x3\r\nabc\r\n0\r\n\r\n",
    "blank before the size": b" 3\r\nabc\r\n0\r\n\r\n",
    "blank inside the size": b"0 3\r\nabc\r\n0\r\n\r\n",
    "blank inside an extension": b"3;a b\r\nabc\r\n0\r\n\r\n",
    "extension without a name": b"3;\r\nabc\r\n0\r\n\r\n",
    "open quote": b'3;a="b ;\r\nabc\r\n0\r\n\r\n',
    "no size": b"\r\nabc\r\n0\r\n\r\n",
    "17 digits": b"10000000000000003\r\nabc\r\n0\r\n\r\n",
    "bare line feed after a size": b"3\nabc\r\n0\r\n\r\n",
    "bare line feed after content": b"3\r\nabc\n0\r\n\r\n",
    "control byte in an extension": b"3;\x01\r\nabc\r\n0\r\n\r\n",
    "more content than its size": b"3\r\nabcd\r\n0\r\n\r\n",
    "blank in the name of a trailer": b"3\r\nabc\r\n0\r\nX Note: a\r\n\r\n",
    "trailer without a colon": b"3\r\nabc\r\n0\r\nabc\r\n\r\n",
}


def decode(*parts):
    body = ChunkedBody()
    content = b"".join(body.decode(part) for part in parts)
    return content, body.is_complete


def make_chunk(content):
    return b"%x\r\n%b\r\n" % (len(content), content)


class TestChunkedBody:
    @pytest.mark.parametrize("name", SOUND)
    def test_sound_one_is_decoded_in_any_parts(self, name):
        data = SOUND[name]
        assert decode(data) == (b"abc", True)
        assert decode(*(bytes([byte]) for byte in data)) == (b"abc", True)

    @pytest.mark.parametrize("name", BROKEN)
    def test_broken_one_is_malformed_in_any_parts(self, name):
        data = BROKEN[name]
        for parts in ([data], [bytes([byte]) for byte in data]):
            with pytest.raises(AnswerMalformedError) as caught:
                decode(*parts)
            assert caught.value.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize("name", SOUND)
    def test_is_complete_at_its_last_byte_only(self, name):
        data = SOUND[name]
        for length in range(len(data)):
            assert not decode(data[:length])[1]

    @pytest.mark.parametrize("rest", [b"abc", b"HTTP/1.1 200 OK\r\n\r\nabc", b"\0"])
    def test_bytes_after_its_end_are_dropped(self, rest):
        assert decode(SOUND["plain"] + rest) == (b"abc", True)
        assert decode(SOUND["plain"], rest) == (b"abc", True)

    @pytest.mark.parametrize("start", [b"3;", b"3\r\nabc\r\n0\r\nA: "])
    def test_endless_framing_is_malformed(self, start):
        part = b"x" * 4096
        body = ChunkedBody()
        body.decode(start)
        with pytest.raises(AnswerMalformedError):
            for _ in range(MAX_FRAMING_BYTES // len(part) + 1):
                body.decode(part)

    @pytest.mark.parametrize("part", [b" ", b"\t;", b'"', b'\\"', b" =", b"a "])
    def test_framing_up_to_its_bound_is_parsed_at_once(self, part):
        line = b"3;a=" + part * ((MAX_FRAMING_BYTES - 100) // len(part)) + b"x y\r\n"
        with pytest.raises(AnswerMalformedError):
            decode(line)

    def test_framing_between_content_is_not_added_up(self):
        body = ChunkedBody()
        chunk = b"1;" + b"x" * 4096 + b"\r\na\r\n"
        for _ in range(MAX_FRAMING_BYTES // len(chunk) + 2):
            assert body.decode(chunk) == b"a"

    @given(st.lists(st.binary(min_size=1)), st.integers(1, 9))
    def test_content_comes_out_as_it_was_sent(self, contents, size):
        data = b"".join(map(make_chunk, contents)) + b"0\r\n\r\n"
        parts = [data[i : i + size] for i in range(0, len(data), size)]
        assert decode(*parts) == (b"".join(contents), True)
