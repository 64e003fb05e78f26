"""The wait of a request at its instance."""

from typing import Any, Protocol

import attrs

from experiments.simulation import EventLoop
from oriolepaddle.admission import EdgeQueue, QueuedRequest, QueueEntry
from oriolepaddle.errors import RefusedError
from oriolepaddle.placement import Job, Placer

__all__ = ["Exchange", "Turn"]

POLL_INTERVAL_S = 0.05
"""Interval at which a waiting request looks at the engines again."""


class Exchange(Protocol):
    """A request that can be placed; its `outcome` is an `Outcome` of the region."""

    placer: Placer
    job: Job
    outcome: Any

    def start(self) -> None:
        """Place the request and send it, unless the placer refuses it."""
        ...


class Turn:
    """Lets one request wait before it is placed, as `edge.turn.Turn` does.

    Args:
        loop: The event loop.
        queue: The queue of the instance.
        service: The service that runs the request.
        exchange: The request.
    """

    def __init__(
        self, loop: EventLoop, queue: EdgeQueue, service: str, exchange: Exchange
    ) -> None:
        self._loop = loop
        self._queue = queue
        self._service = service
        self._exchange = exchange
        self._job = exchange.job
        placer = exchange.placer
        self._own_s = placer.estimate_s(service, self._job.input_tokens)
        self._own_s -= placer.estimate_s(service, 0)

    def start(self) -> None:
        """Place the request, let it wait or refuse it."""
        outcome = self._exchange.outcome
        target_s = outcome.kind.target_s
        limits = self._queue.find_limits(self._service, target_s)
        is_waiting = self._queue.is_waiting(self._service)
        is_limited = limits.first_s < float("inf")
        if not (is_limited and is_waiting) and self._try_start(limits.first_s):
            return
        if not is_limited:
            return
        cost_tokens = 1.0 + self._job.memory_tokens
        request = QueuedRequest(
            self._service, "", 1.0, cost_tokens, target_s, target_s, self._own_s
        )
        try:
            entry = self._queue.enter(request)
        except RefusedError:
            if not is_waiting or not self._try_start(limits.idle_s):
                outcome.is_refused = True
            return
        if entry is None:
            self._try_start(float("inf"))
            return
        self._loop.schedule(POLL_INTERVAL_S, self._poll, entry)

    def _poll(self, entry: QueueEntry) -> None:
        outcome = self._exchange.outcome
        outcome.waited_s = self._loop.monotonic_s() - outcome.arrived_s
        try:
            limit_s = self._queue.find_limit_s(entry)
        except RefusedError:
            outcome.is_refused = True
            return
        if self._try_start(limit_s):
            self._queue.start(entry)
        else:
            self._loop.schedule(POLL_INTERVAL_S, self._poll, entry)

    def _try_start(self, limit_s: float) -> bool:
        if limit_s == 0:
            return False
        outcome = self._exchange.outcome
        elapsed_s = self._loop.monotonic_s() - outcome.arrived_s
        on_time_s = outcome.kind.target_s - elapsed_s
        self._exchange.job = attrs.evolve(
            self._job, max_first_byte_s=min(on_time_s, limit_s + self._own_s)
        )
        outcome.is_refused = False
        self._exchange.start()
        return not outcome.is_refused
