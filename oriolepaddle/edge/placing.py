"""The choice between an endpoint of this region and an instance of another."""

from datetime import timedelta

import attrs

from oriolepaddle.edge.admission import AdmittedRequest
from oriolepaddle.edge.context import EdgeContext
from oriolepaddle.edge.forwarding import choose_peer
from oriolepaddle.edge.progress import ExchangeProgress
from oriolepaddle.edge.regions import PeerChoice
from oriolepaddle.edge.request import EdgeRequest
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.placement import Choice, Job, find_urgency

__all__ = ["make_job", "place", "place_elsewhere"]

LATE_WAIT_FRACTION = 0.3
"""Fraction of the target time that a request past its target may still wait."""
MAX_DRAWS = 2
"""Endpoints for which a request draws a permit; a silent hub costs 0.06 s each."""
MIN_SPREAD_DELAY = timedelta(milliseconds=500)
"""Retry delay above which callers wait for a permit or the end of a pause."""
MAX_RETURN_SPREAD = 2.0
"""Factor up to which such a delay is extended, so that the callers don't return
together."""
RETRY_AFTER = timedelta(milliseconds=200)
"""Retry delay sent to callers whose region of residency cannot serve them now."""


def make_job(
    admitted: AdmittedRequest,
    request: EdgeRequest,
    now_s: float,
    remaining_s: float,
    may_have_run: bool = False,
) -> Job:
    """Return the placement parameters of a request at this time.

    Args:
        admitted: The admitted request, with its route.
        request: The request.
        now_s: Monotonic time in seconds.
        remaining_s: Seconds to the deadline.
        may_have_run: Whether an endpoint may have run the request. It can no longer
            be refused as "not run" then, so a late response is better than none.
    """
    target_s = admitted.route.target.total_seconds()
    on_time_s = target_s - (now_s - request.arrived_s)
    max_first_byte_s = max(on_time_s, LATE_WAIT_FRACTION * target_s)
    if may_have_run:
        max_first_byte_s = remaining_s
    return Job(
        service=admitted.service,
        parts=request.parts,
        input_tokens=request.input_tokens,
        output_tokens=request.output_tokens,
        max_first_byte_s=min(max_first_byte_s, remaining_s),
        urgency=find_urgency(request.input_tokens, timedelta(seconds=on_time_s)),
        route=admitted.route.name,
        size_bytes=len(request.body),
    )


def place(
    context: EdgeContext,
    admitted: AdmittedRequest,
    job: Job,
    progress: ExchangeProgress,
    local_limit_s: float = float("inf"),
) -> Choice | PeerChoice:
    """Return an endpoint of this region or an instance of another.

    Args:
        context: The components that request handling uses.
        admitted: The admitted request.
        job: The request's placement parameters.
        progress: The request's attempts.
        local_limit_s: The longest expected time to the first byte for which the
            request starts in this region now, as others need the endpoints sooner.

    Raises:
        RefusedError: Neither may run the request, or neither is expected to start
            its response in time. With a limit, `OVERLOADED` says nothing of other
            regions.
    """
    is_limited = local_limit_s < job.max_first_byte_s
    local_job = attrs.evolve(job, max_first_byte_s=local_limit_s) if is_limited else job
    refusal = None
    choice = None
    if admitted.allows_region(context.region):
        try:
            choice = context.placer.choose(local_job, progress.excluded)
        except RefusedError as error:
            refusal = error
    if is_limited and refusal is not None and refusal.code is ErrorCode.OVERLOADED:
        raise refusal
    if refusal is not None:
        try:
            choice = _choose_with_drawn_permit(context, local_job, progress)
        except RefusedError as error:
            refusal = error
    peer = None
    if progress.may_forward:
        peer = context.regions.choose(job.service, job.input_tokens, admitted.residency)
    if peer is not None:
        forwarded_to = choose_peer(
            context.regions,
            choice,
            peer,
            job,
            admitted.residency,
            context.count_instances(),
            len(progress.excluded),
        )
        if forwarded_to is not None:
            return forwarded_to
    if choice is None:
        raise _spread_return(context, refusal or _make_refusal(peer, job))
    return choice


def place_elsewhere(
    context: EdgeContext,
    admitted: AdmittedRequest,
    job: Job,
    progress: ExchangeProgress,
    max_expected_s: float,
) -> PeerChoice | None:
    """Return an instance of another region for a request that is refused in this one.

    Args:
        context: The components that request handling uses.
        admitted: The admitted request.
        job: The request's placement parameters.
        progress: The request's attempts.
        max_expected_s: The longest expected time to the first byte for which it is
            forwarded; requests that wait in another region are not in that time.
    """
    if not progress.may_forward:
        return None
    peer = context.regions.choose(job.service, job.input_tokens, admitted.residency)
    limit_s = min(max_expected_s, job.max_first_byte_s)
    return peer if peer is not None and peer.expected_s <= limit_s else None


def _spread_return(context: EdgeContext, refusal: RefusedError) -> RefusedError:
    """Extend a long retry delay at random, as many callers wait for the same moment."""
    delay = refusal.retry_after
    if delay is not None and delay > MIN_SPREAD_DELAY:
        refusal.retry_after = delay * context.generator.uniform(1.0, MAX_RETURN_SPREAD)
    return refusal


def _choose_with_drawn_permit(
    context: EdgeContext, job: Job, progress: ExchangeProgress
) -> Choice | None:
    """Return an endpoint with a limit for which a hub has a permit, or None.

    Raises:
        RefusedError: There are such endpoints, but no permit for any of them.
    """
    limited = context.placer.list_without_permit(job, progress.excluded)
    refusals = []
    for endpoint in limited[:MAX_DRAWS]:
        try:
            context.permits.draw(endpoint.incarnation)
        except RefusedError as error:
            refusals.append(error)
            continue
        return context.placer.choose(job, permitted=endpoint)
    if not refusals:
        return None
    wait = min(error.retry_after or RETRY_AFTER for error in refusals)
    raise RefusedError(
        f"the endpoints of {job.service} take no more requests for now",
        code=ErrorCode.OVERLOADED,
        retry_after=wait,
    )


def _make_refusal(peer: PeerChoice | None, job: Job) -> RefusedError:
    if peer is None:
        return RefusedError(
            "no instance in the request's region of residency can be reached",
            code=ErrorCode.RESIDENCY_UNSERVABLE,
            retry_after=RETRY_AFTER,
        )
    return RefusedError(
        f"region {peer.region} is expected to start the response in "
        f"{peer.expected_s:.2f} s, after the limit of {job.max_first_byte_s:.2f} s",
        code=ErrorCode.OVERLOADED,
        retry_after=RETRY_AFTER,
    )
