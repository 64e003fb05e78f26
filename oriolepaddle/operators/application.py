"""The administration API over HTTP."""

from collections.abc import Callable

import attrs
from werkzeug.exceptions import HTTPException, NotFound
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request

from oriolepaddle.config import parse_ticket
from oriolepaddle.errors import (
    ErrorCode,
    MalformedRequestError,
    RefusedError,
)
from oriolepaddle.operators.administration import Administration
from oriolepaddle.web import AnswerWriter
from oriolepaddle.web.operator_call import check_operator, read_object, read_text

__all__ = ["OperatorApplication"]

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_UNAUTHENTICATED_CALLS = ("health", "ready")
_RULES = (
    ("/health", "GET", "health"),
    ("/ready", "GET", "ready"),
    ("/metrics", "GET", "metrics"),
    ("/v1/status", "GET", "status"),
    ("/v1/instances", "GET", "instances"),
    ("/v1/endpoints", "GET", "endpoints"),
    ("/v1/limits/<organisation>", "GET", "limit"),
    ("/v1/route/explain", "POST", "explain"),
    ("/v1/objects/<kind>/<path:object_id>", "GET", "object"),
    ("/v1/orders/<path:number>", "GET", "order"),
    ("/v1/quarantine", "GET", "quarantine"),
    ("/v1/quarantine/<fingerprint>", "DELETE", "clear"),
    ("/v1/tickets/check", "POST", "check_ticket"),
    ("/v1/drain", "POST", "drain"),
    ("/v1/limits/allow-cold-start", "POST", "cold_start"),
)


class OperatorApplication:
    """The operators' HTTP API; an `Application`.

    Args:
        administration: The instance's reports and actions.
        token: The token that operators send as `Authorization: Bearer`.
    """

    def __init__(self, administration: Administration, token: str) -> None:
        self._administration = administration
        self._token = token
        self._map = Map(
            [
                Rule(path, methods=[method], endpoint=name)
                for path, method, name in _RULES
            ]
        )

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one call; see `Application.handle`."""
        try:
            name, values = self._map.bind_to_environ(request.environ).match()
        except NotFound as error:
            raise RefusedError(
                f"unknown call {request.path}", code=ErrorCode.ROUTE_UNKNOWN
            ) from error
        except HTTPException as error:
            raise MalformedRequestError(
                f"{request.path} does not support method {request.method}"
            ) from error
        if name not in _UNAUTHENTICATED_CALLS:
            check_operator(request, self._token)
        call: Callable[..., None] = getattr(self, f"_answer_{name}")
        call(request, writer, **values)

    def _answer_health(self, request: Request, writer: AnswerWriter) -> None:
        writer.answer_json(200, {"healthy": True})

    def _answer_ready(self, request: Request, writer: AnswerWriter) -> None:
        is_ready = self._administration.status().is_ready
        writer.answer_json(200 if is_ready else 503, {"ready": is_ready})

    def _answer_metrics(self, request: Request, writer: AnswerWriter) -> None:
        body = self._administration.render_metrics()
        writer.answer(200, body, METRICS_CONTENT_TYPE)

    def _answer_status(self, request: Request, writer: AnswerWriter) -> None:
        writer.answer_json(200, attrs.asdict(self._administration.status()))

    def _answer_instances(self, request: Request, writer: AnswerWriter) -> None:
        _answer_list(writer, "instances", self._administration.instances())

    def _answer_endpoints(self, request: Request, writer: AnswerWriter) -> None:
        _answer_list(writer, "endpoints", self._administration.endpoints())

    def _answer_limit(
        self, request: Request, writer: AnswerWriter, organisation: str
    ) -> None:
        report = self._administration.limit(organisation)
        if report is None:
            raise RefusedError(
                f"unknown organisation {organisation}", code=ErrorCode.ROUTE_UNKNOWN
            )
        writer.answer_json(200, attrs.asdict(report))

    def _answer_explain(self, request: Request, writer: AnswerWriter) -> None:
        document = read_object(request)
        route = read_text(document, "route")
        organisation = document.get("organisation")
        prompt = str(document.get("prompt", ""))
        explained = self._administration.explain(route, organisation, prompt)
        writer.answer_json(200, attrs.asdict(explained))

    def _answer_object(
        self, request: Request, writer: AnswerWriter, kind: str, object_id: str
    ) -> None:
        report = self._administration.find_object(kind, object_id)
        if report is None:
            raise RefusedError(
                f"no object {object_id} of kind {kind} was ever received",
                code=ErrorCode.ROUTE_UNKNOWN,
            )
        writer.answer_json(200, attrs.asdict(report))

    def _answer_order(
        self, request: Request, writer: AnswerWriter, number: str
    ) -> None:
        state = self._administration.order_state(number)
        writer.answer_json(200, {"order": number, "state": state})

    def _answer_quarantine(self, request: Request, writer: AnswerWriter) -> None:
        _answer_list(writer, "entries", self._administration.quarantined())

    def _answer_clear(
        self, request: Request, writer: AnswerWriter, fingerprint: str
    ) -> None:
        is_cleared = self._administration.clear_quarantine(fingerprint)
        writer.answer_json(200 if is_cleared else 404, {"cleared": is_cleared})

    def _answer_check_ticket(self, request: Request, writer: AnswerWriter) -> None:
        ticket = parse_ticket(request.get_data())
        document = {"number": ticket.number, "objects": len(ticket.entries)}
        writer.answer_json(200, document)

    def _answer_cold_start(self, request: Request, writer: AnswerWriter) -> None:
        self._administration.allow_cold_start()
        writer.answer_json(202, {"allowed": True})

    def _answer_drain(self, request: Request, writer: AnswerWriter) -> None:
        writer.answer_json(202, {"draining": True})
        self._administration.start_drain()


def _answer_list(writer: AnswerWriter, name: str, reports: tuple) -> None:
    writer.answer_json(200, {name: [attrs.asdict(report) for report in reports]})
