"""The operators' calls to an instance that one document configures."""

import hmac
import json
from collections.abc import Callable
from typing import Any

from werkzeug.wrappers import Request

from oriolepaddle.daemon.edge_inspection import EdgeInspection
from oriolepaddle.errors import (
    ErrorCode,
    MalformedRequestError,
    PermissionDeniedError,
    RefusedError,
)
from oriolepaddle.gossip.region_loads import TYPICAL_PROMPT_TOKENS
from oriolepaddle.web import AnswerWriter, Application

__all__ = ["InspectionApplication"]

PREFIX = "/v1/"
EXPLAIN_PATH = "/v1/route/explain"
LIMITS_PREFIX = "/v1/limits/"
OK = 200


class InspectionApplication:
    """Serves an inspection beside another application; an `Application`.

    Args:
        inspection: What may be looked at.
        token: The token that operators show as `Authorization: Bearer`.
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
        if not request.path.startswith(PREFIX):
            self._application.handle(request, writer)
            return
        self._check_token(request)
        writer.answer_json(OK, self._read(request))

    def _read(self, request: Request) -> dict[str, Any]:
        inspection = self._inspection
        if request.method == "POST" and request.path == EXPLAIN_PATH:
            return self._explain(request)
        if request.method == "GET" and request.path.startswith(LIMITS_PREFIX):
            return inspection.limit(request.path.removeprefix(LIMITS_PREFIX))
        calls: dict[str, Callable[[], dict[str, Any]]] = {
            "/v1/status": inspection.status,
            "/v1/instances": lambda: {"instances": inspection.instances()},
            "/v1/endpoints": lambda: {"endpoints": inspection.endpoints()},
        }
        call = calls.get(request.path)
        if request.method != "GET" or call is None:
            raise RefusedError(
                f"no call {request.method} {request.path}",
                code=ErrorCode.ROUTE_UNKNOWN,
            )
        return call()

    def _explain(self, request: Request) -> dict[str, Any]:
        try:
            document = json.loads(request.get_data())
        except ValueError as error:
            raise MalformedRequestError(f"the body is not JSON: {error}") from error
        if not isinstance(document, dict) or not isinstance(document.get("route"), str):
            raise MalformedRequestError("route must be a string")
        words = len(str(document.get("prompt") or "").split())
        return self._inspection.explain(
            document["route"], words or TYPICAL_PROMPT_TOKENS
        )

    def _check_token(self, request: Request) -> None:
        shown = request.headers.get("Authorization", "")
        if not hmac.compare_digest(shown.encode(), f"Bearer {self._token}".encode()):
            raise PermissionDeniedError("the operator's token is missing or wrong")
