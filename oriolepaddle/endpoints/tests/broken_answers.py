"""Answers that break HTTP, and sound ones of rare forms; all have the body `abc`."""

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"3\r\nabc\r\n0\r\n\r\n"
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
