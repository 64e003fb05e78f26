"""The WSGI environment of a request."""

import io
import ssl
from typing import Any
from urllib.parse import unquote_to_bytes, urlsplit

from oriolepaddle.errors import MalformedRequestError
from oriolepaddle.web.parser import RequestHead

__all__ = ["make_environ"]

_WITHOUT_PREFIX = ("CONTENT_TYPE", "CONTENT_LENGTH")


def make_environ(
    head: RequestHead,
    body: bytes,
    client_address: tuple[str, int],
    server_address: tuple[str, int],
    tls: ssl.SSLContext | None,
) -> dict[str, Any]:
    """Return the environment from which werkzeug makes a request.

    Fields whose names have an underscore are left out, as they could pose as others.
    Repeated fields are joined by commas.

    Args:
        head: The head of the request.
        body: The whole body.
        client_address: The client's IP address and port.
        server_address: The IP address and port of the listener.
        tls: The TLS context, or None for plain TCP.

    Raises:
        MalformedRequestError: The target is not a URL.
    """
    path, query, host = _split_target(head.target)
    environ: dict[str, Any] = {
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "https" if tls else "http",
        "wsgi.input": io.BytesIO(body),
        "wsgi.input_terminated": True,
        "wsgi.multithread": True,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
        "REQUEST_METHOD": head.method,
        "SCRIPT_NAME": "",
        "PATH_INFO": unquote_to_bytes(path).decode("latin-1"),
        "QUERY_STRING": query,
        "REQUEST_URI": head.target,
        "RAW_URI": head.target,
        "REMOTE_ADDR": client_address[0],
        "REMOTE_PORT": client_address[1],
        "SERVER_NAME": server_address[0],
        "SERVER_PORT": str(server_address[1]),
        "SERVER_PROTOCOL": f"HTTP/{head.version}",
    }
    _add_fields(environ, head)
    environ["CONTENT_LENGTH"] = str(len(body))
    if host:
        environ["HTTP_HOST"] = host
    return environ


def _add_fields(environ: dict[str, Any], head: RequestHead) -> None:
    for name, value in head.fields:
        if "_" in name:
            continue
        key = name.upper().replace("-", "_")
        if key not in _WITHOUT_PREFIX:
            key = f"HTTP_{key}"
        environ[key] = f"{environ[key]},{value}" if key in environ else value


def _split_target(target: str) -> tuple[str, str, str]:
    """Return the path, the query and, of an absolute target, the host."""
    if target.startswith("/"):
        path, _, query = target.partition("?")
        return path, query, ""
    try:
        url = urlsplit(target)
    except ValueError as error:
        raise MalformedRequestError(f"the target is not a URL: {error}") from error
    return url.path, url.query, url.netloc if url.scheme else ""
