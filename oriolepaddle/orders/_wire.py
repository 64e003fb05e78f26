"""Conversion of orders and answers to and from thrift structs."""

from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.errors import (
    ErrorCode,
    OrderError,
    OriolepaddleError,
    Outcome,
    RefusedError,
)
from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.orders.answered import AnsweredOrder, AnsweredOrders
from oriolepaddle.orders.request import OrderRequest
from oriolepaddle.peers import PeerIdentity, PeerService
from oriolepaddle.peers.gen_py.orders import Orders, ttypes

__all__ = [
    "ORDERS_SERVICE",
    "make_reply",
    "read_reply",
    "read_handover",
    "read_request",
    "write_handover",
    "write_request",
]

ORDERS_SERVICE = PeerService(name="orders", module=Orders)

_CODES = {code.code: code for code in ErrorCode}
_MILLISECOND = timedelta(milliseconds=1)


def write_request(
    number: str,
    request: OrderRequest,
    now_s: float,
    sender_incarnation: int,
    attempt: int,
) -> ttypes.OrderCall:
    """Return the struct of one attempt to deliver an order."""
    return ttypes.OrderCall(
        number=number,
        organisation=request.organisation,
        key_digest=request.key_digest,
        method=request.method,
        path=request.path,
        headers=_write_headers(request.headers),
        body=request.body,
        deadline_ms=int((request.deadline_s - now_s) * 1000),
        hops=list(request.hops),
        sender_incarnation=sender_incarnation,
        sending=attempt,
        request_id=request.request_id,
    )


def read_request(call: ttypes.OrderCall, now_s: float) -> OrderRequest:
    """Return the order of a struct, with its deadline on the local clock."""
    return OrderRequest(
        request_id=call.request_id,
        organisation=call.organisation,
        key_digest=call.key_digest,
        method=call.method,
        path=call.path,
        headers=_read_headers(call.headers),
        body=call.body,
        deadline_s=now_s + call.deadline_ms / 1000,
        hops=tuple(call.hops),
    )


def make_reply(handle: Callable[[], OrderAnswer | None]) -> ttypes.OrderReply:
    """Return the result or the error of `handle` as a struct.

    None is written as "pending".
    """
    try:
        answer = handle()
    except OriolepaddleError as error:
        return ttypes.OrderReply(failure=_write_failure(error))
    if answer is None:
        return ttypes.OrderReply()
    return ttypes.OrderReply(answer=_write_answer(answer))


def read_reply(reply: ttypes.OrderReply) -> OrderAnswer | None:
    """Return the answer of a struct, or None if pending; raise its failure."""
    if reply.failure is not None:
        raise _read_failure(reply.failure)
    return None if reply.answer is None else _read_answer(reply.answer)


def write_handover(orders: AnsweredOrders) -> ttypes.HandoverCall:
    """Return the struct that transfers answered orders to a successor."""
    issuer = orders.issuer
    return ttypes.HandoverCall(
        instance=issuer.instance,
        incarnation=issuer.incarnation,
        data_centre=issuer.data_centre,
        life=orders.boot_id,
        remaining_ms=orders.remaining // _MILLISECOND,
        orders=[_write_answered(order) for order in orders.orders],
    )


def read_handover(call: ttypes.HandoverCall) -> AnsweredOrders:
    """Return the answered orders of a struct."""
    return AnsweredOrders(
        issuer=PeerIdentity(call.instance, call.incarnation, call.data_centre),
        boot_id=call.life,
        remaining=call.remaining_ms * _MILLISECOND,
        orders=tuple(_read_answered(order) for order in call.orders),
    )


def _write_answered(order: AnsweredOrder) -> ttypes.KeptOrder:
    answer = order.answer
    return ttypes.KeptOrder(
        sequence=order.sequence,
        organisation=order.organisation,
        digest=order.digest,
        answer=None if answer is None else _write_answer(answer),
    )


def _read_answered(order: ttypes.KeptOrder) -> AnsweredOrder:
    answer = order.answer
    return AnsweredOrder(
        sequence=order.sequence,
        organisation=order.organisation,
        digest=order.digest,
        answer=None if answer is None else _read_answer(answer),
    )


def _write_headers(headers: tuple[tuple[str, str], ...]) -> list[ttypes.Header]:
    return [ttypes.Header(name=name, value=value) for name, value in headers]


def _read_headers(headers: list[ttypes.Header]) -> tuple[tuple[str, str], ...]:
    return tuple((header.name, header.value) for header in headers)


def _write_answer(answer: OrderAnswer) -> ttypes.Answer:
    return ttypes.Answer(
        status=answer.status,
        headers=_write_headers(answer.headers),
        body=answer.body,
        request_id=answer.request_id,
    )


def _read_answer(answer: ttypes.Answer) -> OrderAnswer:
    return OrderAnswer(
        status=answer.status,
        headers=_read_headers(answer.headers),
        body=answer.body,
        request_id=answer.request_id,
    )


def _write_failure(error: OriolepaddleError) -> ttypes.Failure:
    retry_after = error.retry_after
    return ttypes.Failure(
        code=error.code.code,
        outcome=error.outcome.value,
        message=error.message,
        retry_after_ms=None if retry_after is None else retry_after // _MILLISECOND,
    )


def _read_failure(failure: ttypes.Failure) -> OriolepaddleError:
    code = _CODES.get(failure.code)
    if code is None:
        # A newer peer sent a code that is unknown here, so its outcome is not
        # trusted either.
        return OrderError(f"the issuer replied with {failure.code}: {failure.message}")
    outcome = Outcome(failure.outcome)
    error_class = RefusedError if outcome is Outcome.NOT_RUN else OrderError
    wait_ms = failure.retry_after_ms
    return error_class(
        failure.message,
        code=code,
        outcome=outcome,
        retry_after=None if wait_ms is None else timedelta(milliseconds=wait_ms),
    )
