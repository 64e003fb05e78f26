"""Where a request goes: an endpoint here, or an instance elsewhere."""

from datetime import timedelta

from oriolepaddle.edge.admission import AdmittedRequest
from oriolepaddle.edge.context import EdgeContext
from oriolepaddle.edge.progress import ExchangeProgress
from oriolepaddle.edge.regions import PeerChoice
from oriolepaddle.edge.request import EdgeRequest
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.placement import Choice, Job, find_urgency

__all__ = ["make_job", "place"]

LATE_PATIENCE_PART = 0.3
"""Part of the target that a request which is late already may still wait."""
AWAY_GAIN_S = 0.1
"""Time to be gained before a request is worth the link between regions."""
NEAR_PART_EACH, MAX_NEAR_PART = 0.03, 0.6
"""Part of a request's patience, for each instance of its region and at most, within
which it stays: the word of another region's short queues is up to a second old, and
the more instances act on it at once, the less it holds."""
MAX_LOCAL_FAILURES = 2
"""Endpoints that failed one request before the whole region is doubted."""
RETURN_AFTER = timedelta(milliseconds=200)
"""The pause of a caller whose region of residency cannot serve it now."""


def make_job(
    admitted: AdmittedRequest,
    request: EdgeRequest,
    now_s: float,
    left_s: float,
    may_have_run: bool = False,
) -> Job:
    """Return what placing needs to know of a request now.

    Args:
        admitted: Its route.
        request: The request.
        now_s: Monotonic seconds.
        left_s: Seconds to its deadline.
        may_have_run: Whether an endpoint may have run it. It can be refused no
            more then, so that an answer at any time is better than none.
    """
    target_s = admitted.route.target.total_seconds()
    on_time_s = target_s - (now_s - request.arrived_s)
    patience_s = max(on_time_s, LATE_PATIENCE_PART * target_s)
    if may_have_run:
        patience_s = left_s
    return Job(
        service=admitted.service,
        parts=request.parts,
        input_tokens=request.input_tokens,
        output_tokens=request.output_tokens,
        max_first_byte_s=min(patience_s, left_s),
        urgency=find_urgency(request.input_tokens, timedelta(seconds=on_time_s)),
    )


def place(
    context: EdgeContext,
    admitted: AdmittedRequest,
    job: Job,
    progress: ExchangeProgress,
) -> Choice | PeerChoice:
    """Return an endpoint of this region or an instance of another.

    Raises:
        RefusedError: Neither may run it, or neither would begin in time.
    """
    refusal = None
    choice = None
    if admitted.allows_region(context.region):
        try:
            choice = context.placer.choose(job, progress.excluded)
        except RefusedError as error:
            refusal = error
    peer = None
    if progress.may_forward:
        peer = context.regions.choose(job.service, job.input_tokens, admitted.residency)
    is_doubted = len(progress.excluded) >= MAX_LOCAL_FAILURES
    near_part = min(MAX_NEAR_PART, NEAR_PART_EACH * context.count_instances())
    near_s = near_part * job.max_first_byte_s
    if peer is not None and _is_better_away(choice, peer, job, near_s, is_doubted):
        return peer
    if choice is None:
        raise refusal or _make_refusal(peer, job)
    return choice


def _make_refusal(peer: PeerChoice | None, job: Job) -> RefusedError:
    if peer is None:
        return RefusedError(
            "its region of residency cannot be reached",
            code=ErrorCode.RESIDENCY_UNSERVABLE,
            retry_after=RETURN_AFTER,
        )
    return RefusedError(
        f"{peer.region} would begin the answer in {peer.expected_s:.2f} s, later "
        f"than {job.max_first_byte_s:.2f} s",
        code=ErrorCode.OVERLOADED,
        retry_after=RETURN_AFTER,
    )


def _is_better_away(
    choice: Choice | None, peer: PeerChoice, job: Job, near_s: float, is_doubted: bool
) -> bool:
    if choice is None or choice.is_blocked or is_doubted:
        return peer.expected_s <= job.max_first_byte_s
    if choice.expected_s <= near_s:
        return False
    return peer.expected_s + AWAY_GAIN_S < choice.expected_s
