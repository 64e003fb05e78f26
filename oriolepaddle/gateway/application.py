"""The HTTP application that serves callers."""

from loguru import logger
from werkzeug.wrappers import Request

from oriolepaddle.config.keys import digest_key
from oriolepaddle.config.model import Organisation
from oriolepaddle.errors import OriolepaddleError
from oriolepaddle.gateway.advisor import InstanceAdvisor
from oriolepaddle.gateway.authenticator import Authenticator
from oriolepaddle.gateway.exchanger import Exchanger
from oriolepaddle.gateway.keys import find_presented_key
from oriolepaddle.gateway.parser import ORDERS_PATH, RequestParser
from oriolepaddle.metrics import GatewayMetrics
from oriolepaddle.web import AnswerWriter

__all__ = ["CallerApplication"]


class CallerApplication:
    """The callers' interface; an `Application`.

    Args:
        parser: Parses and authenticates requests.
        exchanger: Serves parsed requests.
        advisor: Suggests instances to callers.
        authenticator: Finds the organisation of a caller's key.
        data_centre: The data centre of this instance.
        metrics: Counts refused and failed requests by error code.
    """

    def __init__(
        self,
        parser: RequestParser,
        exchanger: Exchanger,
        advisor: InstanceAdvisor,
        authenticator: Authenticator,
        data_centre: str,
        metrics: GatewayMetrics,
    ) -> None:
        self._parser = parser
        self._exchanger = exchanger
        self._advisor = advisor
        self._authenticator = authenticator
        self._data_centre = data_centre
        self._metrics = metrics

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Handle one request; see `Application.handle`."""
        if request.path == "/v1/instances":
            self._respond_with_instances(request, writer)
            return
        request_id = request.environ["oriolepaddle.request_id"]
        try:
            parsed = self._parser.parse(request)
            with logger.contextualize(
                request_id=request_id, organisation=parsed.organisation_id
            ):
                if request.path == ORDERS_PATH:
                    self._exchanger.issue_order(parsed, writer)
                else:
                    self._exchanger.serve(parsed, writer)
        except OriolepaddleError as error:
            self._metrics.refusals.labels(error.code.code, error.outcome).inc()
            logger.bind(request_id=request_id, reason=error.code.code).info(
                "request ended with an error: {}", error.message
            )
            raise

    def _respond_with_instances(self, request: Request, writer: AnswerWriter) -> None:
        data_centre = request.args.get("data_centre", self._data_centre)
        found = self._advisor.advise(data_centre, self._find_organisation(request))
        document = {
            "instances": [
                {
                    "id": instance.id,
                    "data_centre": instance.data_centre,
                    "address": instance.caller_address,
                }
                for instance in found.instances
            ],
            "valid_for_s": found.valid_for.total_seconds(),
        }
        writer.answer_json(200, document)

    def _find_organisation(self, request: Request) -> Organisation | None:
        presented_key = find_presented_key(request)
        if presented_key is None:
            return None
        return self._authenticator.find_caller(digest_key(presented_key)).organisation
