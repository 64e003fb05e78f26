"""Checks the guarantees against the records of callers and runners."""

from collections import defaultdict

from oriolepaddle.platform import names
from oriolepaddle.platform.standins.runner import ReceivedRequest
from soak.fleet import EVENT_COUNT, SoakFleet
from soak.ledger import SentRequest

__all__ = ["find_violations"]

REVOCATION_LIMIT_S = 5.0
"""Time within which a revoked key must stop working, as deployments require."""
DRAIN_LIMIT_S = 4.0
"""Time after which a leaving endpoint must get no new work."""
LIMIT_SETTLING_S, LIMIT_WINDOW_S = 6.0, 4.0
LIMIT_FACTOR, LIMIT_SLACK = 1.5, 5
"""A limit is kept from the settling time on, in each window, within the factor and the
slack, as the platform's rules say."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses which guarantee that a request has not run and will not run."""
ID_FIELD = names.REQUEST_ID.lower()


def find_violations(
    fleet: SoakFleet, sent: dict[str, SentRequest], is_planned_only: bool
) -> list[str]:
    """Return a line for each violation of a guarantee."""
    runs = _collect_runs(fleet)
    violations = _check_runs(sent, runs)
    violations += _check_answers(sent)
    violations += _check_revoked(fleet, sent, runs)
    if is_planned_only:
        violations += _check_leaving(fleet)
        violations += _check_limits(fleet)
        violations += _check_lost(sent, runs)
    return violations


def _check_limits(fleet: SoakFleet) -> list[str]:
    violations = []
    for name, limit_per_s, since_s, until_s in fleet.limits:
        first_s = since_s + LIMIT_SETTLING_S
        times = [item.received_s for item in list(fleet.runners[name].received)]
        times = [at_s for at_s in times if first_s <= at_s < until_s]
        allowed = LIMIT_FACTOR * limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        # An instance that has restarted meanwhile may send one before it is told.
        allowed += fleet.instances_each
        for start_s in times:
            count = sum(start_s <= at_s < start_s + LIMIT_WINDOW_S for at_s in times)
            if count > allowed:
                violations.append(f"{name}: {count} requests at {limit_per_s} a second")
                break
    for name, since_s, until_s in fleet.told_leaving:
        times = [item.received_s for item in list(fleet.runners[name].received)]
        told_s = min((at_s for at_s in times if at_s >= since_s), default=until_s)
        late = [at_s for at_s in times if told_s + DRAIN_LIMIT_S < at_s < until_s]
        # Each instance has to be told once, by an answer or by another instance.
        if len(late) > fleet.instances_each:
            violations.append(f"{name}: {len(late)} requests after it said it leaves")
    return violations


def _collect_runs(fleet: SoakFleet) -> dict[str, list[ReceivedRequest]]:
    runs = defaultdict(list)
    for runner in fleet.runners.values():
        for item in list(runner.received):
            if item.has_run:
                runs[item.headers.get(ID_FIELD, "")].append(item)
    return runs


def _check_runs(
    sent: dict[str, SentRequest], runs: dict[str, list[ReceivedRequest]]
) -> list[str]:
    violations = []
    for name, items in runs.items():
        request = sent.get(name)
        if request is None:
            violations.append(f"{name}: no caller sent it")
            continue
        may_repeat = request.path.startswith(("/read/", "/chat/"))
        if len(items) > 1 and not may_repeat:
            violations.append(f"{name}: {request.path} ran {len(items)} times")
        if request.status in NOT_RUN_STATUSES and not may_repeat:
            violations.append(f"{name}: answered {request.status} and has run")
        if any("authorization" in item.headers for item in items):
            violations.append(f"{name}: a runner saw the key")
        if any(item.body not in (b"", request.body) for item in items):
            violations.append(f"{name}: the body was changed")
    return violations


def _check_answers(sent: dict[str, SentRequest]) -> list[str]:
    violations = []
    for request in sent.values():
        if request.status != 200 or request.answer is None:
            continue
        if request.path.startswith(("/read/", "/book/")):
            body = b"" if request.path.startswith("/read/") else request.body
            expected = b"done " + body
        else:
            expected = b"".join(
                b"id: %d\ndata: piece %d\n\n" % (number, number)
                for number in range(1, EVENT_COUNT + 1)
            )
        if request.answer != expected:
            violations.append(f"{request.id}: {request.path} got {request.answer!r}")
    return violations


def _check_revoked(
    fleet: SoakFleet,
    sent: dict[str, SentRequest],
    runs: dict[str, list[ReceivedRequest]],
) -> list[str]:
    violations = []
    for request in sent.values():
        revoked_s = fleet.revoked.get(request.key)
        if revoked_s is None or request.sent_s < revoked_s + REVOCATION_LIMIT_S:
            continue
        if request.id in runs:
            late_s = request.sent_s - revoked_s
            violations.append(
                f"{request.id}: ran {late_s:.2f} s after its key had gone"
            )
    return violations


def _check_leaving(fleet: SoakFleet) -> list[str]:
    violations = []
    for name, left_s, rejoined_s in fleet.absences:
        for item in list(fleet.runners[name].received):
            if left_s + DRAIN_LIMIT_S < item.received_s < rejoined_s:
                late_s = item.received_s - left_s
                violations.append(f"{name}: got work {late_s:.2f} s after it had left")
    return violations


def _check_lost(
    sent: dict[str, SentRequest], runs: dict[str, list[ReceivedRequest]]
) -> list[str]:
    # A request that is sent while the instance closes its connection, and reaches no
    # runner, is not lost: the caller may send it again.
    return [
        f"{request.id}: {request.path} ran and has no whole answer"
        for request in sent.values()
        if request.id in runs and request.status != 0 and request.answer is None
    ]
