import pytest
from hypothesis import given, strategies as st

from oriolepaddle.answers import HeadParser
from oriolepaddle.answers.head import (
    MAX_CONTENT_LENGTH,
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
)
from oriolepaddle.endpoints.tests.broken_answers import (
    BROKEN_LENGTHS,
    BROKEN_LINES,
    BROKEN_NAMES,
)
from oriolepaddle.errors import AnswerMalformedError, Outcome

STATUS = b"HTTP/1.1 200 OK"
END = b"\r\n"
BROKEN = BROKEN_LENGTHS | BROKEN_LINES | BROKEN_NAMES
BROKEN_STATUS_LINES = [
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2x0 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/2 200 OK",
    b"HTTP/1.2 200 OK",
    b"http/1.1 200 OK",
    b"200 OK",
    b" HTTP/1.1 200 OK",
]
TOKEN = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
VALUE = "\t " + "".join(map(chr, [*range(33, 127), *range(128, 256)]))
INVALID_BYTES = [byte for byte in range(256) if chr(byte) not in TOKEN + ":\r\n"]


def feed(parser, head):
    for line in head.splitlines(keepends=True):
        parser.feed_line(line)
    return parser


def parse(*lines):
    return feed(HeadParser(), b"".join(line + END for line in (*lines, b"")))


def check_malformed(*lines):
    with pytest.raises(AnswerMalformedError) as caught:
        parse(*lines)
    assert caught.value.outcome is Outcome.UNKNOWN


class TestHeadParser:
    def test_reads_fields_in_their_order(self):
        parser = parse(
            STATUS, b"B: 2", b"a:  x, y \t", b"B:1", b"C:", b"D: caf\xe9\xa0"
        )
        assert parser.is_complete
        assert parser.fields == (
            ("B", "2"),
            ("a", "x, y"),
            ("B", "1"),
            ("C", ""),
            ("D", "caf\xe9\xa0"),
        )

    def test_is_complete_at_its_empty_line_only(self):
        parser = HeadParser()
        for line in (STATUS + END, b"A: b\r\n"):
            parser.feed_line(line)
            assert not parser.is_complete
        parser.feed_line(END)
        assert parser.is_complete

    def test_reads_the_head_after_an_interim_answer(self):
        parser = parse(b"HTTP/1.1 103 Early Hints", b"A: b")
        assert parser.is_complete
        assert parser.is_at_start
        parser.feed_line(STATUS + END)
        assert not parser.is_complete
        feed(parser, b"C: d\r\n\r\n")
        assert parser.fields == (("C", "d"),)

    def test_accepts_bare_line_feeds(self):
        parser = feed(HeadParser(), STATUS + b"\nA: b\n\n")
        assert parser.fields == (("A", "b"),)

    @pytest.mark.parametrize("line", BROKEN_STATUS_LINES)
    def test_rejects_status_lines_that_are_none(self, line):
        check_malformed(line)

    @pytest.mark.parametrize("name", BROKEN)
    def test_rejects_broken_heads(self, name):
        head = BROKEN[name].partition(b"\r\n\r\n")[0]
        check_malformed(*head.split(END))

    @pytest.mark.parametrize("byte", INVALID_BYTES)
    @pytest.mark.parametrize("name", [b"%cNote", b"X%cNote", b"Note%c"])
    def test_rejects_names_that_are_no_tokens(self, name, byte):
        check_malformed(STATUS, name % byte + b": a")

    @pytest.mark.parametrize("byte", [*range(9), *range(10, 32), 127])
    def test_rejects_control_bytes_in_values(self, byte):
        check_malformed(STATUS, b"Note: a%cb" % byte)

    def test_rejects_a_head_that_switches_protocols(self):
        check_malformed(
            b"HTTP/1.1 101 Switching", b"Connection: upgrade", b"Upgrade: x"
        )

    @given(st.text(TOKEN, min_size=1), st.text(VALUE))
    def test_accepts_every_field_of_http(self, name, value):
        # The fields that declare a length have a syntax of their own.
        field = f"X{name}: {value}".encode("latin-1")
        assert parse(STATUS, field).fields == ((f"X{name}", value.strip(" \t")),)

    @pytest.mark.parametrize("line", [b"A: b\r\n", b"HTTP/1.1 103 A\r\n\r\n"])
    def test_bounds_its_lines(self, line):
        parser = HeadParser()
        feed(parser, STATUS + END if line.startswith(b"A") else b"")
        with pytest.raises(AnswerMalformedError):
            feed(parser, line * MAX_HEAD_LINES)

    def test_bounds_its_bytes(self):
        with pytest.raises(AnswerMalformedError):
            parse(STATUS, b"A: " + b"b" * MAX_HEAD_BYTES)


class TestFraming:
    @pytest.mark.parametrize(
        "lines",
        [
            [b"Content-Length: 3"],
            [b"content-length:3"],
            [b"Content-Length: 3", b"A: b", b"content-length: 3 "],
            [b"Content-Length: 3, 3"],
            [b"Content-Length: 3,3", b"Content-Length: 3"],
        ],
    )
    def test_equal_lengths_are_one(self, lines):
        parser = parse(STATUS, *lines)
        lengths = [value for name, value in parser.fields if name != "A"]
        assert lengths == ["3"]
        assert parser.has_length
        assert not parser.is_chunked

    @pytest.mark.parametrize("value", [b"3,", b",3", b"3, 03", b"3;3", b"0x3", b"3.0"])
    def test_other_lengths_are_malformed(self, value):
        check_malformed(STATUS, b"Content-Length: " + value)

    def test_greatest_length_is_that_of_libcurl(self):
        assert parse(STATUS, b"Content-Length: %d" % MAX_CONTENT_LENGTH).has_length
        check_malformed(STATUS, b"Content-Length: %d" % (MAX_CONTENT_LENGTH + 1))

    @pytest.mark.parametrize("value", [b"chunked", b" Chunked\t"])
    def test_chunks_are_declared(self, value):
        parser = parse(STATUS, b"Transfer-Encoding:" + value)
        assert parser.is_chunked
        assert not parser.has_length

    @pytest.mark.parametrize(
        "value",
        [b"gzip, chunked", b"gzip", b"chunked, gzip", b"chunked;a=b", b"xchunked"],
    )
    def test_other_codings_are_malformed(self, value):
        check_malformed(STATUS, b"Transfer-Encoding: " + value)

    def test_version_without_codings_has_no_chunks(self):
        check_malformed(b"HTTP/1.0 200 OK", b"Transfer-Encoding: chunked")

    def test_neither_is_declared_up_to_the_end_of_the_connection(self):
        parser = parse(b"HTTP/1.0 200 OK", b"A: b")
        assert not parser.has_length
        assert not parser.is_chunked
