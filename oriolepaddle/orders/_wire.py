"""Orders and answers as thrift structs and back."""

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
    "open_reply",
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
    sending: int,
) -> ttypes.OrderCall:
    """Return the struct of one sending of an order."""
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
        sending=sending,
        request_id=request.request_id,
    )


def read_request(call: ttypes.OrderCall, now_s: float) -> OrderRequest:
    """Return the order of a struct, its deadline by the reader's clock."""
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


def make_reply(work: Callable[[], OrderAnswer | None]) -> ttypes.OrderReply:
    """Return what `work` returns or raises as a struct; None is "pending"."""
    try:
        answer = work()
    except OriolepaddleError as error:
        return ttypes.OrderReply(failure=_write_failure(error))
    if answer is None:
        return ttypes.OrderReply()
    return ttypes.OrderReply(answer=_write_answer(answer))


def open_reply(reply: ttypes.OrderReply) -> OrderAnswer | None:
    """Return the answer of a struct, None if pending, or raise its failure."""
    if reply.failure is not None:
        raise _read_failure(reply.failure)
    return None if reply.answer is None else _read_answer(reply.answer)


def write_handover(orders: AnsweredOrders) -> ttypes.HandoverCall:
    """Return the struct that hands answered orders over."""
    issuer = orders.issuer
    return ttypes.HandoverCall(
        instance=issuer.instance,
        incarnation=issuer.incarnation,
        data_centre=issuer.data_centre,
        life=orders.boot_id,
        remaining_ms=orders.remaining // _MILLISECOND,
        orders=[_write_kept(order) for order in orders.orders],
    )


def read_handover(call: ttypes.HandoverCall) -> AnsweredOrders:
    """Return the answered orders of a struct."""
    return AnsweredOrders(
        issuer=PeerIdentity(call.instance, call.incarnation, call.data_centre),
        boot_id=call.life,
        remaining=call.remaining_ms * _MILLISECOND,
        orders=tuple(_read_kept(order) for order in call.orders),
    )


def _write_kept(kept: AnsweredOrder) -> ttypes.KeptOrder:
    answer = kept.answer
    return ttypes.KeptOrder(
        sequence=kept.sequence,
        organisation=kept.organisation,
        digest=kept.digest,
        answer=None if answer is None else _write_answer(answer),
    )


def _read_kept(kept: ttypes.KeptOrder) -> AnsweredOrder:
    answer = kept.answer
    return AnsweredOrder(
        sequence=kept.sequence,
        organisation=kept.organisation,
        digest=kept.digest,
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
        # A newer peer's code; its outcome cannot be vouched for here.
        return OrderError(f"the issuer answered {failure.code}: {failure.message}")
    outcome = Outcome(failure.outcome)
    kind = RefusedError if outcome is Outcome.NOT_RUN else OrderError
    wait_ms = failure.retry_after_ms
    return kind(
        failure.message,
        code=code,
        outcome=outcome,
        retry_after=None if wait_ms is None else timedelta(milliseconds=wait_ms),
    )
