"""The operators' HTTP API of an edge instance."""

from collections.abc import Callable
from typing import Any

from werkzeug.wrappers import Request

from oriolepaddle.daemon.edge_inspection import EdgeInspection
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.gossip.region_waits import TYPICAL_PROMPT_TOKENS
from oriolepaddle.web import AnswerWriter, Application
from oriolepaddle.web.operator_call import check_operator, read_object, read_text

__all__ = ["InspectionApplication"]

API_PREFIX = "/v1/"
EXPLAIN_PATH = "/v1/route/explain"
QUARANTINE_PATH = "/v1/quarantine"
LIMITS_PREFIX = "/v1/limits/"
OK = 200


class InspectionApplication:
    """Serves the operators' API and wraps another application; an `Application`.

    Args:
        inspection: The state that operators can read.
        token: The token that operators send as `Authorization: Bearer`.
        application: Serves every other path.
    """

    def __init__(
        self, inspection: EdgeInspection, token: str, application: Application
    ) -> None:
        self._inspection = inspection
        self._token = token
        self._application = application

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one request; see `Application.handle`."""
        if not request.path.startswith(API_PREFIX):
            self._application.handle(request, writer)
            return
        check_operator(request, self._token)
        writer.answer_json(OK, self._read(request))

    def _read(self, request: Request) -> dict[str, Any]:
        inspection = self._inspection
        if request.method == "POST" and request.path == EXPLAIN_PATH:
            return self._explain(request)
        if request.method == "GET" and request.path.startswith(LIMITS_PREFIX):
            return inspection.limit(request.path.removeprefix(LIMITS_PREFIX))
        key = _find_quarantined_key(request)
        if request.method == "DELETE" and key:
            return inspection.forget_suspect(key)
        calls: dict[str, Callable[[], dict[str, Any]]] = {
            "/v1/status": inspection.status,
            "/v1/instances": lambda: {"instances": inspection.instances()},
            QUARANTINE_PATH: lambda: {"entries": inspection.suspects()},
            "/v1/endpoints": lambda: {"endpoints": inspection.endpoints()},
        }
        call = calls.get(request.path)
        if request.method != "GET" or call is None:
            raise RefusedError(
                f"unknown call {request.method} {request.path}",
                code=ErrorCode.ROUTE_UNKNOWN,
            )
        return call()

    def _explain(self, request: Request) -> dict[str, Any]:
        document = read_object(request)
        words = len(str(document.get("prompt") or "").split())
        route = read_text(document, "route")
        return self._inspection.explain(route, words or TYPICAL_PROMPT_TOKENS)


def _find_quarantined_key(request: Request) -> str:
    prefix = f"{QUARANTINE_PATH}/"
    return request.path.removeprefix(prefix) if request.path.startswith(prefix) else ""
