"""Table of the error codes."""

import enum

from oriolepaddle.errors.outcome import Outcome

__all__ = ["ErrorCode"]


class ErrorCode(enum.Enum):
    """A stable error code with its HTTP status, outcome and meaning.

    The value of a member is `(code, status, outcome, meaning)`. `outcome` is
    the default; an error raised after a request was sent may carry another one.
    """

    MALFORMED_REQUEST = (
        "malformed_request",
        400,
        Outcome.NOT_RUN,
        "The request line, header or body could not be parsed.",
    )
    BODY_TOO_LARGE = (
        "body_too_large",
        413,
        Outcome.NOT_RUN,
        "The body is larger than the limit.",
    )
    HEADER_TOO_LARGE = (
        "header_too_large",
        431,
        Outcome.NOT_RUN,
        "The header is larger than the limit.",
    )
    REQUEST_TIMEOUT = (
        "request_timeout",
        408,
        Outcome.NOT_RUN,
        "The caller did not send the complete request in time.",
    )
    KEY_MISSING = (
        "key_missing",
        401,
        Outcome.NOT_RUN,
        "The route needs a key and the request has none.",
    )
    KEY_UNKNOWN = (
        "key_unknown",
        401,
        Outcome.NOT_RUN,
        "The key is unknown or withdrawn.",
    )
    KEY_WITHDRAWN = (
        "key_withdrawn",
        401,
        Outcome.UNKNOWN,
        "The key was withdrawn, or the route closed, while the answer was being sent.",
    )
    ROUTE_UNKNOWN = (
        "route_unknown",
        404,
        Outcome.NOT_RUN,
        "No route serves this model or path.",
    )
    ORGANISATION_UNKNOWN = (
        "organisation_unknown",
        403,
        Outcome.NOT_RUN,
        "The key names an organisation that is not configured.",
    )
    RATE_LIMITED = (
        "rate_limited",
        429,
        Outcome.NOT_RUN,
        "The organisation exceeded its rate and burst limits.",
    )
    RESIDENCY_UNSERVABLE = (
        "residency_unservable",
        503,
        Outcome.NOT_RUN,
        "No endpoint in the region of residency is reachable.",
    )
    NO_ENDPOINT = (
        "no_endpoint",
        503,
        Outcome.NOT_RUN,
        "No endpoint that may run the request is reachable.",
    )
    OVERLOADED = (
        "overloaded",
        503,
        Outcome.NOT_RUN,
        "The queue or the connection pool is full.",
    )
    DEADLINE_UNREACHABLE = (
        "deadline_unreachable",
        503,
        Outcome.NOT_RUN,
        "The request cannot be answered before its deadline.",
    )
    DRAINING = (
        "draining",
        503,
        Outcome.NOT_RUN,
        "The instance is shutting down and accepts no new requests.",
    )
    NOT_READY = (
        "not_ready",
        503,
        Outcome.NOT_RUN,
        "The instance has not caught up with the configuration.",
    )
    QUARANTINED = (
        "quarantined",
        422,
        Outcome.NOT_RUN,
        "The request crashed endpoints and is not retried.",
    )
    HOP_LIMIT = (
        "hop_limit",
        508,
        Outcome.NOT_RUN,
        "The request was already forwarded and must not be forwarded again.",
    )
    ENDPOINT_REFUSED = (
        "endpoint_refused",
        503,
        Outcome.NOT_RUN,
        "The endpoint refused the request and did not run it.",
    )
    REFUSAL_UNCONFIRMED = (
        "refusal_unconfirmed",
        502,
        Outcome.UNKNOWN,
        "The endpoint's status says 'not run', but the request may have run.",
    )
    ENDPOINT_UNREACHABLE = (
        "endpoint_unreachable",
        502,
        Outcome.NOT_RUN,
        "No connection to the endpoint could be established.",
    )
    ENDPOINT_TIMEOUT = (
        "endpoint_timeout",
        504,
        Outcome.UNKNOWN,
        "The endpoint did not answer in time.",
    )
    ENDPOINT_FAILED = (
        "endpoint_failed",
        502,
        Outcome.UNKNOWN,
        "The connection to the endpoint broke after the request was sent.",
    )
    ANSWER_MISMATCHED = (
        "answer_mismatched",
        502,
        Outcome.UNKNOWN,
        "The answer does not belong to the request.",
    )
    ANSWER_TRUNCATED = (
        "answer_truncated",
        502,
        Outcome.UNKNOWN,
        "The answer ended before it was complete.",
    )
    ANSWER_MALFORMED = (
        "answer_malformed",
        502,
        Outcome.UNKNOWN,
        "The answer violates its format or exceeds a limit.",
    )
    ORDER_NUMBER_INVALID = (
        "order_number_invalid",
        400,
        Outcome.NOT_RUN,
        "The idempotency key was not issued by the system.",
    )
    ORDER_CONFLICT = (
        "order_conflict",
        409,
        Outcome.NOT_RUN,
        "The idempotency key was already used with another request.",
    )
    ORDER_IN_PROGRESS = (
        "order_in_progress",
        409,
        Outcome.UNKNOWN,
        "The order with this idempotency key is still running.",
    )
    ORDER_OUTCOME_UNKNOWN = (
        "order_outcome_unknown",
        502,
        Outcome.UNKNOWN,
        "The order may have run; its issuer does not know or is unreachable.",
    )
    ORDER_ANSWER_GONE = (
        "order_answer_gone",
        410,
        Outcome.RUN,
        "The order has run and its answer is no longer stored.",
    )
    COMMAND_WITHHELD = (
        "command_withheld",
        409,
        Outcome.NOT_RUN,
        "The engine command was not sent since it is superseded or may be stale.",
    )
    TICKET_INVALID = (
        "ticket_invalid",
        400,
        Outcome.NOT_RUN,
        "The ticket violates the configuration schema.",
    )
    SETTINGS_INVALID = (
        "settings_invalid",
        500,
        Outcome.NOT_RUN,
        "A setting is missing or out of range.",
    )
    PLATFORM_UNAVAILABLE = (
        "platform_unavailable",
        503,
        Outcome.NOT_RUN,
        "The platform did not answer.",
    )
    PEER_UNAVAILABLE = (
        "peer_unavailable",
        503,
        Outcome.NOT_RUN,
        "No connection to the peer could be established.",
    )
    PEER_TIMEOUT = (
        "peer_timeout",
        504,
        Outcome.UNKNOWN,
        "The peer did not answer in time and may have executed the call.",
    )
    PEER_REJECTED = (
        "peer_rejected",
        403,
        Outcome.NOT_RUN,
        "The peer uses another secret or protocol version.",
    )
    PERMISSION_DENIED = (
        "permission_denied",
        403,
        Outcome.NOT_RUN,
        "The operator's token is missing or wrong.",
    )
    INTERNAL = (
        "internal",
        500,
        Outcome.UNKNOWN,
        "Internal error of the gateway.",
    )

    def __init__(self, code: str, status: int, outcome: Outcome, meaning: str) -> None:
        self.code = code
        self.status = status
        self.outcome = outcome
        self.meaning = meaning
