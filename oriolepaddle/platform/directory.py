"""HTTP applications for instance discovery, readiness checks and metrics."""

from collections.abc import Callable

from werkzeug.wrappers import Request

from oriolepaddle.edge.resolver import ADDRESS_TTL, InstanceResolver
from oriolepaddle.web import AnswerWriter

__all__ = ["DirectoryApplication", "ReadinessApplication"]

RESOLVE_PATH = "/resolve"
READY_PATH = "/ready"
METRICS_PATH = "/metrics"


class DirectoryApplication:
    """Returns the addresses of instances to callers; an `Application`.

    Args:
        resolver: Chooses the instances.
    """

    def __init__(self, resolver: InstanceResolver) -> None:
        self._resolver = resolver

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one request; see `Application.handle`."""
        if request.path != RESOLVE_PATH:
            writer.answer_json(404, {})
            return
        addresses = self._resolver.resolve(
            request.args.get("name", ""),
            request.args.get("region", ""),
            request.remote_addr or "",
        )
        if not addresses:
            writer.answer_json(503, {"addresses": []})
            return
        document = {"addresses": addresses, "ttlS": ADDRESS_TTL.total_seconds()}
        writer.answer_json(200, document)


class ReadinessApplication:
    """Serves the readiness check and the metrics; an `Application`.

    Args:
        is_ready: Returns whether this instance accepts callers.
        write_metrics: Returns the metrics as text.
    """

    def __init__(
        self, is_ready: Callable[[], bool], write_metrics: Callable[[], bytes]
    ) -> None:
        self._is_ready = is_ready
        self._write_metrics = write_metrics

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one request; see `Application.handle`."""
        if request.path == METRICS_PATH:
            writer.answer(200, self._write_metrics(), "text/plain; version=0.0.4")
        elif request.path == READY_PATH:
            ready = self._is_ready()
            writer.answer_json(200 if ready else 503, {"ready": ready})
        else:
            writer.answer_json(404, {})
