"""The placement of a request after those that need the endpoints sooner."""

from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.admission import EdgeQueue, QueuedRequest, QueueEntry, QueueLimits
from oriolepaddle.edge.admission import AdmittedRequest
from oriolepaddle.edge.context import EdgeContext
from oriolepaddle.edge.placing import place, place_elsewhere
from oriolepaddle.edge.progress import ExchangeProgress
from oriolepaddle.edge.regions import PeerChoice
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.placement import Choice, Job

__all__ = ["PlacedRequest", "Turn"]

POLL_INTERVAL = timedelta(milliseconds=50)
"""Interval at which the first waiting request looks at the endpoints again, and all
look at their callers: a fraction of the time that a long prompt takes."""
MIN_OWN_FRACTION = 0.5
"""Time to read its prompt, as a fraction of the first limit, from which a request is
held back. The wait of a shorter one leaves no room for others."""
PlacedRequest = tuple[Choice | PeerChoice, Job]


class Turn:
    """Places one request, after a wait if others need the endpoints sooner.

    Args:
        context: The components that request handling uses.
        progress: The request's attempts.
        make_job: Returns the request's placement parameters at this time.
        check: Called while it waits; raises an error if it must not be sent any more.
        log: Writes a log line of the request.
    """

    def __init__(
        self,
        context: EdgeContext,
        progress: ExchangeProgress,
        make_job: Callable[[], Job],
        check: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        self._context = context
        self._progress = progress
        self._make_job = make_job
        self._check = check
        self._log = log

    @property
    def _queue(self) -> EdgeQueue:
        return self._context.queue

    def place(self, admitted: AdmittedRequest, on_time_s: float) -> PlacedRequest:
        """Return where the request is sent, and its placement parameters by then.

        Args:
            admitted: The admitted request.
            on_time_s: Seconds until its first byte is due.

        Raises:
            RefusedError: It is not placed, as `edge.placing.place` says, or it would
                wait too long to be on time; it was not run.
            OSError: The caller has disconnected.
        """
        job = self._make_job()
        limits = self._find_limits(admitted, job, on_time_s)
        if limits is None:
            return place(self._context, admitted, job, self._progress), job
        own_s = self._estimate_own_s(job)
        is_waiting = self._queue.is_waiting(job.service)
        placed = None
        if not is_waiting:
            placed = self._try_place(admitted, limits.first_s, own_s)
        if placed is not None:
            return placed
        try:
            return self._wait(admitted, job, on_time_s, own_s)
        except RefusedError as error:
            if error.code is not ErrorCode.OVERLOADED:
                raise
            if is_waiting:
                placed = self._try_place(admitted, limits.idle_s, own_s)
            placed = placed or self._place_elsewhere(admitted, limits.last_s + own_s)
            if placed is None:
                raise
            return placed

    def _place_elsewhere(
        self, admitted: AdmittedRequest, max_expected_s: float
    ) -> PlacedRequest | None:
        job = self._make_job()
        peer = place_elsewhere(
            self._context, admitted, job, self._progress, max_expected_s
        )
        return None if peer is None else (peer, job)

    def _find_limits(
        self, admitted: AdmittedRequest, job: Job, on_time_s: float
    ) -> QueueLimits | None:
        """Return the limits of the expected queue; None if it doesn't wait."""
        progress = self._progress
        target_s = admitted.route.target.total_seconds()
        limits = self._queue.find_limits(job.service, target_s)
        # A request that has been sent before is not held up again.
        is_new = progress.attempts == 0 and progress.runs == 0
        is_local = admitted.allows_region(self._context.region)
        is_limited = (
            limits.first_s < float("inf")
            and self._estimate_own_s(job) >= MIN_OWN_FRACTION * limits.first_s
        )
        return limits if is_limited and is_new and is_local and on_time_s > 0 else None

    def _estimate_own_s(self, job: Job) -> float:
        placer = self._context.placer
        queue_s = placer.estimate_s(job.service, 0)
        whole_s = placer.estimate_s(job.service, job.input_tokens)
        return 0.0 if queue_s is None or whole_s is None else whole_s - queue_s

    def _wait(
        self, admitted: AdmittedRequest, job: Job, on_time_s: float, own_s: float
    ) -> PlacedRequest:
        organisation = admitted.organisation
        entry = self._queue.enter(
            QueuedRequest(
                service=job.service,
                organisation=organisation.id if organisation else "",
                weight=1.0,
                cost_tokens=1.0 + job.memory_tokens,
                target_s=admitted.route.target.total_seconds(),
                on_time_s=on_time_s,
                own_s=own_s,
            )
        )
        if entry is None:
            return place(self._context, admitted, job, self._progress), job
        self._log(
            "request_queued",
            position=entry.position,
            forecast_s=round(entry.forecast_s, 3),
        )
        try:
            placed = self._wait_in(entry, admitted, own_s)
        finally:
            self._queue.leave(entry)
        return placed

    def _wait_in(
        self, entry: QueueEntry, admitted: AdmittedRequest, own_s: float
    ) -> PlacedRequest:
        context = self._context
        changed = entry.waiter.decided
        while True:
            context.clock.wait(changed, POLL_INTERVAL)
            changed.clear()
            self._check()
            limit_s = self._queue.find_limit_s(entry)
            placed = self._try_place(admitted, limit_s, own_s)
            if placed is not None:
                waited_s = self._queue.start(entry)
                context.metrics.queue_time.observe(waited_s)
                self._log("request_dequeued", waited_s=round(waited_s, 3))
                return placed

    def _try_place(
        self, admitted: AdmittedRequest, limit_s: float, own_s: float
    ) -> PlacedRequest | None:
        if limit_s == 0:
            return None
        job = self._make_job()
        try:
            choice = place(
                self._context, admitted, job, self._progress, limit_s + own_s
            )
        except RefusedError as error:
            if error.code is ErrorCode.OVERLOADED:
                return None
            raise
        return choice, job
