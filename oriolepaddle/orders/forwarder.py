"""The pass-on of an order to the instance that issued its number."""

import itertools
import threading
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.errors import (
    ErrorCode,
    OrderError,
    OriolepaddleError,
    Outcome,
    PeerError,
    PeerTimeoutError,
    RefusedError,
)
from oriolepaddle.membership import MembershipView
from oriolepaddle.orders._failures import unknown
from oriolepaddle.orders._wire import ORDERS_SERVICE, open_reply, write_request
from oriolepaddle.orders.answer import OrderAnswer
from oriolepaddle.orders.archive import OrderArchive
from oriolepaddle.orders.codec import OrderNumberCodec
from oriolepaddle.orders.forward_event import ForwardEvent
from oriolepaddle.orders.number import OrderNumber
from oriolepaddle.orders.request import MAX_BODY_BYTES, OrderRequest
from oriolepaddle.orders.successors import rank_successors
from oriolepaddle.peers import PeerCaller
from oriolepaddle.peers.gen_py.orders import ttypes

__all__ = ["OrderForwarder"]

CALL_TIMEOUT = timedelta(seconds=2)
RETRY_PAUSE = timedelta(milliseconds=100)
POLL_PAUSE = timedelta(milliseconds=20)
"""Leaves the link to other calls between two polls."""

MAX_SENDINGS = 3
MAX_LOST_COLLECTS = 5
MAX_SUCCESSORS_ASKED = 4


class _IssuerLostError(OrderError):
    """The issuer could not be asked what became of the order."""


class OrderForwarder:
    """Passes orders on to their issuers, and repeats to their successors.

    Each sending has its own number, and the issuer works on a sending at most
    once. When a reply is lost, the issuer is asked what became of the sending;
    one that had not arrived is thereby refused for good, so that a "not run"
    stays true and another sending may follow.

    Args:
        peers: Calls other instances; best over links of its own, for a link
            carries one call at a time.
        codec: Reads order numbers.
        view: The fleet as this instance sees it.
        archive: What this instance keeps of instances that left.
        clock: The source of time.
        may_send_to: Whether a request may be sent to a data centre, given by its
            id: its residency as far as this instance knows.
    """

    def __init__(
        self,
        peers: PeerCaller,
        codec: OrderNumberCodec,
        view: MembershipView,
        archive: OrderArchive,
        clock: Clock,
        may_send_to: Callable[[OrderRequest, str], bool],
    ) -> None:
        self._peers = peers
        self._codec = codec
        self._view = view
        self._archive = archive
        self._clock = clock
        self._may_send_to = may_send_to
        self._sequences = itertools.count(1)
        self._lock = threading.Lock()
        self._counts: Counter[ForwardEvent] = Counter()

    def counts(self) -> Counter[ForwardEvent]:
        """Return how often each event has occurred."""
        with self._lock:
            return Counter(self._counts)

    def forward(self, number: str, request: OrderRequest) -> OrderAnswer:
        """Return the issuer's answer, or the one that its successor keeps.

        Raises:
            RefusedError: This sending was not run and will not be.
            OrderError: The outcome is unknown, or the answer is gone.
        """
        parsed = self._codec.parse(number, request.organisation)
        self._check(parsed, request)
        try:
            return self._ask_issuer(number, parsed, request)
        except OriolepaddleError as error:
            if error.code is not ErrorCode.ORDER_OUTCOME_UNKNOWN:
                raise
            lost = error
        try:
            answer = self._ask_successors(number, parsed, request)
            self._count(ForwardEvent.ANSWERED_BY_SUCCESSOR)
            return answer
        except OriolepaddleError as error:
            if error.code is not ErrorCode.ORDER_OUTCOME_UNKNOWN:
                raise
            self._count(ForwardEvent.OUTCOME_UNKNOWN)
            raise unknown(lost.message) from lost

    def _check(self, parsed: OrderNumber, request: OrderRequest) -> None:
        if request.hops:
            raise RefusedError(
                "the order was already passed on", code=ErrorCode.HOP_LIMIT
            )
        if len(request.body) > MAX_BODY_BYTES:
            raise RefusedError(
                f"an order's body is at most {MAX_BODY_BYTES} bytes",
                code=ErrorCode.BODY_TOO_LARGE,
            )
        if not self._may_send_to(request, parsed.issuer.data_centre):
            # The residency may have changed after an earlier sending was run.
            raise OrderError(
                "the order's issuer stands outside its region of residency",
                code=ErrorCode.RESIDENCY_UNSERVABLE,
                outcome=Outcome.UNKNOWN,
            )

    def _ask_issuer(
        self, number: str, parsed: OrderNumber, request: OrderRequest
    ) -> OrderAnswer:
        identity = self._view.identity
        if parsed.issuer.instance == identity.instance:
            raise unknown("its issuer is gone")
        request = attrs.evolve(request, hops=(identity.instance,))
        for _ in range(MAX_SENDINGS):
            try:
                return self._send(number, parsed.issuer.instance, request)
            except RefusedError as error:
                if error.code is not ErrorCode.PEER_UNAVAILABLE:
                    raise
            self._count(ForwardEvent.ATTEMPT_LOST)
            self._pause()
            self._check_deadline(request)
        raise _IssuerLostError("the order may have run: its issuer cannot be reached")

    def _send(self, number: str, issuer: str, request: OrderRequest) -> OrderAnswer:
        sequence = next(self._sequences)
        incarnation = self._view.identity.incarnation
        now_s = self._clock.monotonic_s()
        call = write_request(number, request, now_s, incarnation, sequence)
        answer = None
        try:
            answer = open_reply(self._call(issuer, "run", call))
        except PeerTimeoutError:
            self._count(ForwardEvent.REPLY_LOST)
            self._pause()
        except PeerError as error:
            raise RefusedError(
                error.message, code=ErrorCode.PEER_UNAVAILABLE
            ) from error
        if answer is not None:
            return answer
        return self._collect(issuer, request, call)

    def _collect(
        self, issuer: str, request: OrderRequest, call: ttypes.OrderCall
    ) -> OrderAnswer:
        collect = ttypes.CollectCall(
            number=call.number,
            organisation=call.organisation,
            digest=request.digest(),
            sender=call.hops[0],
            sender_incarnation=call.sender_incarnation,
            sending=call.sending,
        )
        lost = 0
        while lost < MAX_LOST_COLLECTS:
            self._check_deadline(request)
            try:
                answer = open_reply(self._call(issuer, "collect", collect))
            except PeerError:
                lost += 1
                self._count(ForwardEvent.COLLECT_LOST)
                self._pause()
                continue
            if answer is not None:
                return answer
            self._pause(POLL_PAUSE)
        raise _IssuerLostError("the order may have run: its issuer does not answer")

    def _ask_successors(
        self, number: str, parsed: OrderNumber, request: OrderRequest
    ) -> OrderAnswer:
        digest = request.digest()
        try:
            return self._archive.find(parsed, request.organisation, digest)
        except OrderError as error:
            if error.code is not ErrorCode.ORDER_OUTCOME_UNKNOWN:
                raise
        find = ttypes.FindCall(
            number=number, organisation=request.organisation, digest=digest
        )
        successors = rank_successors(self._view, parsed.issuer)
        for instance in successors[:MAX_SUCCESSORS_ASKED]:
            try:
                return open_reply(self._call(instance, "find", find))
            except PeerError:
                continue
            except OrderError as error:
                if error.code is not ErrorCode.ORDER_OUTCOME_UNKNOWN:
                    raise
        raise unknown("its issuer is gone")

    def _call(self, instance: str, method: str, call: object) -> ttypes.OrderReply:
        return self._peers.call(instance, ORDERS_SERVICE, method, call, CALL_TIMEOUT)

    def _count(self, event: ForwardEvent) -> None:
        with self._lock:
            self._counts[event] += 1

    def _check_deadline(self, request: OrderRequest) -> None:
        if self._clock.monotonic_s() >= request.deadline_s:
            raise _IssuerLostError("the order may have run: its deadline has passed")

    def _pause(self, duration: timedelta = RETRY_PAUSE) -> None:
        self._clock.wait(threading.Event(), duration)
