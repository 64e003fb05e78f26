import io

import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.errors import ErrorCode, MalformedRequestError
from oriolepaddle.web.parser import MAX_FIELDS, RequestParser

MAX_BYTES = 4000
START = b"POST /a HTTP/1.1\r\nHost: x\r\n"
HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(HIDDEN)

MALFORMED_LINES = [
    b"no header field\r\n",
    b"Content-Length : 33\r\n",
    b"X y: z\r\n",
    b"X\x0b: z\r\n",
    b": z\r\n",
    b" X: z\r\n",
    b"X: a\r\n b\r\n",
    b"X: a\rY: b\r\n",
    b"X: a\x00b\r\n",
    b"X: a\x01b\r\n",
    b"X: a\x7fb\r\n",
    b"X: a\n",
    b"X: \xc3\xa9\r\n",
    b"Content-Length: +33\r\n",
    b"Content-Length: -33\r\n",
    b"Content-Length: 0x21\r\n",
    b"Content-Length: 3 3\r\n",
    b"Content-Length: 33, 33\r\n",
    b"Content-Length: 33\r\nContent-Length: 33\r\n",
    b"Content-Length: 99999999999999999999999\r\n",
    b"Content-Length: \r\n",
    b"Content-Length: 33\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked\r\nContent-Length: 33\r\n",
    b"Transfer-Encoding: gzip\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding: chunked, chunked\r\n",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: identity\r\n",
    b"Transfer-Encoding: \x0bchunked\r\n",
    b"Host: y\r\n",
    b"X: a\r\n" * MAX_FIELDS,
]
MALFORMED_STARTS = [
    b"GET  /a HTTP/1.1\r\n",
    b"GET /a b HTTP/1.1\r\n",
    b"GET /a  HTTP/1.1\r\n",
    b" GET /a HTTP/1.1\r\n",
    b"GET /\xc3\xa9 HTTP/1.1\r\n",
    b"GET /a#b HTTP/1.1\r\n",
    b"GET /a HTTP/1.12\r\n",
    b"GET /a HTTP/2.0\r\n",
    b"GET /a\r\n",
    b"GET /a HTTP/1.1\n",
    b"GET /a HTTP/1.1\r\r\n",
    b"\r\n\r\nGET /a HTTP/1.1\r\n",
]
MALFORMED_CHUNKS = [
    b"+3\r\nabc\r\n",
    b"-3\r\nabc\r\n",
    b"0x3\r\nabc\r\n",
    b"3 \r\nabc\r\n",
    b"3\nabc\r\n",
    b"\r\n",
    b"00000000000000003\r\nabc\r\n",
    b"fffffffffffffffff\r\nabc\r\n",
    b"3\r\nabcd\r\n",
    b"3\r\nabc\n",
    b"3\r\nabcXX0\r\n",
    b"3;" + b"a" * 5000 + b"\r\nabc\r\n",
    b"0\r\nTr : x\r\n",
    b"0\r\nno field\r\n",
    b"0\r\nContent-Length: 5\r\n",
]
ODD_BUT_SOUND = [
    b"Content-Length: 033\r\n",
    b"Content-Length:33\r\n",
    b"content-length: \t33 \r\n",
    b"X:\r\n" + LENGTH,
    b"X: a b, c;\tq\r\n" + LENGTH,
    b"Connection: upgrade\r\nUpgrade: websocket\r\n" + LENGTH,
]


class Pieces(io.RawIOBase):
    """A stream that returns its data in the given pieces."""

    def __init__(self, pieces):
        super().__init__()
        self.pieces = [piece for piece in pieces if piece]

    def readable(self):
        return True

    def readinto(self, buffer):
        if not self.pieces:
            return 0
        piece = self.pieces.pop(0)
        count = min(len(buffer), len(piece))
        buffer[:count] = piece[:count]
        if piece[count:]:
            self.pieces.insert(0, piece[count:])
        return count


def make_stream(data):
    return io.BufferedReader(io.BytesIO(data))


def read_one(stream):
    parser = RequestParser(stream)
    head = parser.read_head(MAX_BYTES)
    return head, parser.read_body(head, MAX_BYTES)


def read_all(pieces):
    stream = io.BufferedReader(Pieces(pieces))
    requests = []
    while stream.peek(1):
        requests.append(read_one(stream))
    return requests


def assert_refused(data):
    with pytest.raises(MalformedRequestError) as raised:
        read_one(make_stream(data))
    assert raised.value.code is ErrorCode.MALFORMED_REQUEST


class TestMalformedHead:
    # A request hidden behind a malformed line must not be read as the next one.
    @pytest.mark.parametrize("line", MALFORMED_LINES)
    @pytest.mark.parametrize("is_first", [True, False])
    def test_is_refused_whole(self, line, is_first):
        lines = line + LENGTH if is_first else b"X-Other: y\r\n" + line
        assert_refused(START + lines + b"\r\n" + HIDDEN)

    @pytest.mark.parametrize("line", MALFORMED_STARTS)
    def test_request_line_is_refused(self, line):
        assert_refused(line + b"Host: x\r\n" + LENGTH + b"\r\n" + HIDDEN)

    def test_too_large_one_is_refused_as_such(self):
        with pytest.raises(MalformedRequestError) as raised:
            read_one(make_stream(START + b"X: " + b"a" * MAX_BYTES + b"\r\n\r\n"))
        assert raised.value.code is ErrorCode.HEADER_TOO_LARGE

    @pytest.mark.parametrize("cut", range(len(START)))
    def test_cut_one_is_a_disconnection(self, cut):
        with pytest.raises(ConnectionResetError):
            read_one(make_stream(START[:cut]))


class TestSoundHead:
    @pytest.mark.parametrize("lines", ODD_BUT_SOUND)
    def test_body_of_its_length_is_read(self, lines):
        head, body = read_one(make_stream(START + lines + b"\r\n" + HIDDEN + HIDDEN))
        assert (head.target, body) == ("/a", HIDDEN)

    @pytest.mark.parametrize("target", ["//a/b", "/a/../b", "/%2e%2e/b", "/a?b=//c"])
    def test_target_is_kept_as_sent(self, target):
        data = f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        assert read_one(make_stream(data))[0].target == target

    def test_one_empty_line_before_it_is_skipped(self):
        assert read_one(make_stream(b"\r\n" + HIDDEN))[0].target == "/hidden"


class TestChunkedBody:
    @pytest.mark.parametrize("chunks", MALFORMED_CHUNKS)
    def test_malformed_one_is_refused(self, chunks):
        assert_refused(CHUNKED + b"\r\n" + chunks + b"0\r\n\r\n" + HIDDEN)

    def test_of_http_1_0_is_refused(self):
        assert_refused(CHUNKED.replace(b"1.1", b"1.0") + b"\r\n0\r\n\r\n" + HIDDEN)

    def test_extensions_and_trailers_are_dropped(self):
        chunks = (
            b'3;a="b;c";d\r\nabc\r\nA;e\r\n0123456789\r\n0;z\r\nHost: y\r\nT: u\r\n\r\n'
        )
        stream = make_stream(CHUNKED + b"\r\n" + chunks + HIDDEN)
        head, body = read_one(stream)
        assert body == b"abc0123456789"
        assert head.values("host") == ["x"]
        assert stream.read() == HIDDEN

    def test_too_large_one_is_refused_as_such(self):
        with pytest.raises(MalformedRequestError) as raised:
            read_one(make_stream(CHUNKED + b"\r\nFFF\r\n"))
        assert raised.value.code is ErrorCode.BODY_TOO_LARGE


TOKENS = st.text("abcXYZ019-_.~%/=&", max_size=12)
BODIES = st.binary(max_size=60) | st.just(HIDDEN)


@st.composite
def requests(draw):
    """Draw the target, body and bytes of a well-formed request."""
    target = "/" + draw(TOKENS) + draw(st.sampled_from(["", "?", "?a=b"]))
    body = draw(BODIES)
    fields = draw(st.lists(TOKENS, max_size=3))
    lines = [f"POST {target} HTTP/1.1", "Host: x", *(f"X-Field: {f}" for f in fields)]
    if draw(st.booleans()):
        data = _frame_chunks(draw, body)
        lines.append("Transfer-Encoding: Chunked")
    else:
        data = body
        lines.append(f"Content-Length: {len(body)}")
    draw(st.randoms(use_true_random=False)).shuffle(lines[1:])
    return target, body, "\r\n".join([*lines, "", ""]).encode() + data


def _frame_chunks(draw, body):
    data = b""
    while body:
        size = draw(st.integers(1, len(body)))
        extension = draw(st.sampled_from([b"", b";a", b";a=b"]))
        data += b"%x%b\r\n%b\r\n" % (size, extension, body[:size])
        body = body[size:]
    trailer = draw(st.sampled_from([b"", b"Host: y\r\n", b"T: u\r\n"]))
    return data + b"0\r\n" + trailer + b"\r\n"


class TestByteSequences:
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(items=st.lists(requests(), min_size=1, max_size=4), data=st.data())
    def test_split_anywhere_are_the_requests_that_were_sent(self, items, data):
        whole = b"".join(item[2] for item in items)
        cuts = sorted(data.draw(st.lists(st.integers(0, len(whole)), max_size=8)))
        edges = [0, *cuts, len(whole)]
        pieces = [whole[a:b] for a, b in zip(edges, edges[1:], strict=False)]
        found = [(head.target, body) for head, body in read_all(pieces)]
        assert found == [(target, body) for target, body, _ in items]

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        item=requests(),
        line=st.sampled_from(MALFORMED_LINES[:13]),
        place=st.integers(0, 5),
    )
    def test_malformed_line_anywhere_refuses_the_request(self, item, line, place):
        head, _, body = item[2].partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        at = 1 + place % len(lines)
        lines = [text + b"\r\n" for text in lines]
        with pytest.raises(MalformedRequestError):
            data = b"".join([*lines[:at], line, *lines[at:]]) + b"\r\n" + body
            read_one(make_stream(data))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(data=st.binary(max_size=80) | st.text("PGET/ 1.HT:\r\na0", max_size=60))
    def test_any_bytes_end_in_a_request_or_a_typed_error(self, data):
        data = data if isinstance(data, bytes) else data.encode()
        stream = make_stream(START + data)
        try:
            head, body = read_one(stream)
        except (MalformedRequestError, ConnectionResetError):
            return
        consumed = stream.tell()
        assert consumed >= head.size + len(body)
        assert (START + data)[: head.size].endswith(b"\r\n\r\n")
