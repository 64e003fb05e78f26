"""Forwarding of orders to the instance that issued their number."""

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
from oriolepaddle.orders._errors import outcome_unknown_error
from oriolepaddle.orders._wire import ORDERS_SERVICE, read_reply, write_request
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
"""Frees the link for other calls between two polls."""

MAX_ATTEMPTS = 3
MAX_COLLECT_FAILURES = 5
MAX_SUCCESSORS_QUERIED = 4


class _IssuerUnreachableError(OrderError):
    """The issuer could not be queried for the outcome of the order."""


class OrderForwarder:
    """Forwards orders to their issuers, and repeats to the issuers' successors.

    Each attempt has its own sequence number, and the issuer processes an attempt
    at most once. If a reply is lost, the issuer is queried for the result of the
    attempt. An attempt that has not arrived by then is refused permanently, so
    that "not run" remains true and another attempt is safe.

    Args:
        peers: Calls other instances. Dedicated links are preferable, as a link
            carries one call at a time.
        codec: Decodes order numbers.
        view: This instance's view of the fleet.
        archive: The orders that this instance stores for issuers that left.
        clock: The source of time.
        may_send_to: Whether the request's residency, as known to this instance,
            allows sending it to a data centre, given by its id.
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
        """Return the issuer's answer, or the one that a successor stores.

        Raises:
            RefusedError: The request was not run and will not be.
            OrderError: The outcome is unknown, or the answer is no longer stored.
        """
        parsed = self._codec.parse(number, request.organisation)
        self._check(parsed, request)
        try:
            return self._send_to_issuer(number, parsed, request)
        except OriolepaddleError as error:
            if error.code is not ErrorCode.ORDER_OUTCOME_UNKNOWN:
                raise
            issuer_error = error
        try:
            answer = self._query_successors(number, parsed, request)
            self._count(ForwardEvent.ANSWERED_BY_SUCCESSOR)
            return answer
        except OriolepaddleError as error:
            if error.code is not ErrorCode.ORDER_OUTCOME_UNKNOWN:
                raise
            self._count(ForwardEvent.OUTCOME_UNKNOWN)
            raise outcome_unknown_error(issuer_error.message) from issuer_error

    def _check(self, parsed: OrderNumber, request: OrderRequest) -> None:
        if request.hops:
            raise RefusedError(
                "the order was already forwarded", code=ErrorCode.HOP_LIMIT
            )
        if len(request.body) > MAX_BODY_BYTES:
            raise RefusedError(
                f"an order's body is at most {MAX_BODY_BYTES} bytes",
                code=ErrorCode.BODY_TOO_LARGE,
            )
        if not self._may_send_to(request, parsed.issuer.data_centre):
            # The residency may have changed after an earlier attempt was run.
            raise OrderError(
                "the order's issuer is outside the region of its residency",
                code=ErrorCode.RESIDENCY_UNSERVABLE,
                outcome=Outcome.UNKNOWN,
            )

    def _send_to_issuer(
        self, number: str, parsed: OrderNumber, request: OrderRequest
    ) -> OrderAnswer:
        identity = self._view.identity
        if parsed.issuer.instance == identity.instance:
            raise outcome_unknown_error("its issuer has left or restarted")
        request = attrs.evolve(request, hops=(identity.instance,))
        for _ in range(MAX_ATTEMPTS):
            try:
                return self._send(number, parsed.issuer.instance, request)
            except RefusedError as error:
                if error.code is not ErrorCode.PEER_UNAVAILABLE:
                    raise
            self._count(ForwardEvent.ATTEMPT_LOST)
            self._pause()
            self._check_deadline(request)
        raise _IssuerUnreachableError(
            "the outcome of the order is unknown: its issuer cannot be reached"
        )

    def _send(self, number: str, issuer: str, request: OrderRequest) -> OrderAnswer:
        sequence = next(self._sequences)
        incarnation = self._view.identity.incarnation
        now_s = self._clock.monotonic_s()
        call = write_request(number, request, now_s, incarnation, sequence)
        answer = None
        try:
            answer = read_reply(self._call(issuer, "run", call))
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
        failures = 0
        while failures < MAX_COLLECT_FAILURES:
            self._check_deadline(request)
            try:
                answer = read_reply(self._call(issuer, "collect", collect))
            except PeerError:
                failures += 1
                self._count(ForwardEvent.COLLECT_LOST)
                self._pause()
                continue
            if answer is not None:
                return answer
            self._pause(POLL_PAUSE)
        raise _IssuerUnreachableError(
            "the outcome of the order is unknown: its issuer does not respond"
        )

    def _query_successors(
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
        for instance in successors[:MAX_SUCCESSORS_QUERIED]:
            try:
                return read_reply(self._call(instance, "find", find))
            except PeerError:
                continue
            except OrderError as error:
                if error.code is not ErrorCode.ORDER_OUTCOME_UNKNOWN:
                    raise
        raise outcome_unknown_error("its issuer has left or restarted")

    def _call(self, instance: str, method: str, call: object) -> ttypes.OrderReply:
        return self._peers.call(instance, ORDERS_SERVICE, method, call, CALL_TIMEOUT)

    def _count(self, event: ForwardEvent) -> None:
        with self._lock:
            self._counts[event] += 1

    def _check_deadline(self, request: OrderRequest) -> None:
        if self._clock.monotonic_s() >= request.deadline_s:
            raise _IssuerUnreachableError(
                "the outcome of the order is unknown: its deadline has passed"
            )

    def _pause(self, duration: timedelta = RETRY_PAUSE) -> None:
        self._clock.wait(threading.Event(), duration)
