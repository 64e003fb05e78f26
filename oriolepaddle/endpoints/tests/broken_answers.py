"""Answers that break HTTP, and sound ones of rare forms; all have the body `abc`."""

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"3\r\nabc\r\n0\r\n\r\n"


def make_answers(lines, body):
    return {name: OK + line + b"\r\n\r\n" + body for name, line in lines.items()}


BROKEN_LENGTHS = make_answers(
    {
        "blank before the colon": b"Content-Length : 3",
        "tab before the colon": b"Content-Length\t: 3",
        "letters": b"Content-Length: 3x",
        "sign": b"Content-Length: +3",
        "blank inside": b"Content-Length: 3 3",
        "empty": b"Content-Length:",
        "two that differ": b"Content-Length: 3\r\nContent-Length: 5",
        "list that differs": b"Content-Length: 3, 5",
        "20 digits": b"Content-Length: 9223372036854775809",
        "26 digits": b"Content-Length: 20000000000000000000000000",
        "empty coding": b"Transfer-Encoding:",
        "identity beside a length": b"Transfer-Encoding: identity\r\nContent-Length: 3",
        "unknown coding": b"Transfer-Encoding: x",
    },
    b"abcde",
) | make_answers(
    {
        "blank before the colon of the coding": b"Transfer-Encoding : chunked",
        "control byte before the coding": b"Transfer-Encoding: \x0bchunked",
        "control byte after the coding": b"Transfer-Encoding: chunked\x1c",
        "chunked twice": b"Transfer-Encoding: chunked, chunked",
        "chunked in two lines": CHUNKED + b"Transfer-Encoding: chunked",
        "chunked beside a length": CHUNKED + b"Content-Length: 5",
        "length beside chunked": b"Content-Length: 5\r\nTransfer-Encoding: chunked",
    },
    CHUNKS,
)
BROKEN_LINES = make_answers(
    {
        "no colon": b"abc\r\nContent-Length: 3",
        "no name": b": abc\r\nContent-Length: 3",
        "second status line": b"HTTP/1.1 404 No: a\r\nContent-Length: 3",
        "carriage return": b"A: b\rContent-Length: 5\r\nContent-Length: 3",
    },
    b"abcde",
)
BROKEN_NAMES = {
    name: OK + line + b"\r\nContent-Length: 3\r\n\r\nabc"
    for name, line in {
        "blank": b"X Note: a",
        "tab": b"X\tNote: a",
        "blank at the end": b"X-Note : a",
        "control byte": b"X\x01Note: a",
        "vertical tab at the beginning": b"\x0bX-Note: a",
        "delete": b"X\x7fNote: a",
        "byte beyond ASCII": b"X\xe9Note: a",
    }.items()
} | {
    "blank in an interim answer": b"HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n"
    + OK
    + b"Content-Length: 3\r\n\r\nabc"
}
BROKEN_CHUNKS = {
    name: OK + CHUNKED + b"\r\n" + body
    for name, body in {
        "letter after the size": b"3x\r\nabc\r\n0\r\n\r\n",
        "bare line feeds": b"3\nabc\n0\n\n",
        "control byte in an extension": b"3;\x01\r\nabc\r\n0\r\n\r\n",
        "blank in the name of a trailer": b"3\r\nabc\r\n0\r\nX Note: a\r\n\r\n",
    }.items()
}
STATUS_000 = b"HTTP/1.1 000 OK\r\nContent-Length: 3\r\n\r\nabc"
EARLY = {
    "version 1.1": OK + b"\r\nabc",
    "version 1.0": b"HTTP/1.0 200 OK\r\n\r\nabc",
}
SOUND = {
    "length": OK + b"Content-Length: 3\r\n\r\nabc",
    "length with blanks": OK + b"Content-Length: \t3 \t\r\n\r\nabc",
    "length twice": OK + b"Content-Length: 3\r\ncontent-length:3\r\n\r\nabc",
    "length as a list": OK + b"Content-Length: 3, 3\r\n\r\nabc",
    "end of the connection": OK + b"\r\nabc",
    "version 1.0": b"HTTP/1.0 200 OK\r\n\r\nabc",
    "chunks": OK + CHUNKED + b"\r\n" + CHUNKS,
    "coding in capitals": OK + b"Transfer-Encoding: CHUNKED\r\n\r\n" + CHUNKS,
    "extensions": OK + CHUNKED + b'\r\n1;a=b\r\na\r\n2;c="d;e"\r\nbc\r\n0;f\r\n\r\n',
    "blank before an extension": OK + CHUNKED + b"\r\n3 ;a=b\r\nabc\r\n0\r\n\r\n",
    "blanks in an extension": OK + CHUNKED + b"\r\n3; a = b\r\nabc\r\n0\r\n\r\n",
    "trailers": OK + CHUNKED + b"\r\n3\r\nabc\r\n0\r\nA: b\r\nC: d\r\n\r\n",
    "sizes in capitals": OK + CHUNKED + b"\r\n0A\r\nabcdefghij\r\n000\r\n\r\n",
    "interim answers": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + OK + b"Content-Length: 3\r\n\r\nabc",
    "empty reason phrase": b"HTTP/1.1 200 \r\nContent-Length: 3\r\n\r\nabc",
    "no reason phrase": b"HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nabc",
    "empty value": OK + b"A:\r\nB: \r\nContent-Length: 3\r\n\r\nabc",
    "value beyond ASCII": OK + b"A: caf\xe9\xa0\r\nContent-Length: 3\r\n\r\nabc",
    "token characters": OK + b"!#$%&'*+-.^_|~`09: a\r\nContent-Length: 3\r\n\r\nabc",
    "folded line": OK + b"A: b\r\n c\r\nContent-Length: 3\r\n\r\nabc",
    "bare line feeds": b"HTTP/1.1 200 OK\nA: b\nContent-Length: 3\n\nabc",
    "bytes after the end": OK + b"Content-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n\r\n",
    "bytes after the last chunk": OK
    + CHUNKED
    + b"\r\n"
    + CHUNKS
    + b"HTTP/1.1 200 OK\r\n\r\n",
}
