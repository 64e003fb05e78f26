"""What must hold, by what callers and runners saw."""

from collections import defaultdict

from oriolepaddle.platform import names
from oriolepaddle.platform.standins.runner import ReceivedRequest
from soak.fleet import EVENTS, SoakFleet
from soak.ledger import SentRequest

__all__ = ["find_broken_promises"]

REVOKE_S = 5.0
"""Time in which a withdrawn key stops working, as the deployments demand."""
DRAIN_S = 4.0
"""Time in which a leaving endpoint gets no more work."""
PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""
ID_FIELD = names.REQUEST_ID.lower()


def find_broken_promises(
    fleet: SoakFleet, sent: dict[str, SentRequest], is_planned_only: bool
) -> list[str]:
    """Return a line for each broken promise."""
    runs = _collect_runs(fleet)
    broken = _check_runs(sent, runs)
    broken += _check_answers(sent)
    broken += _check_revoked(fleet, sent, runs)
    if is_planned_only:
        broken += _check_leaving(fleet)
        broken += _check_lost(sent, runs)
    return broken


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
    broken = []
    for name, items in runs.items():
        request = sent.get(name)
        if request is None:
            broken.append(f"{name}: no caller sent it")
            continue
        may_repeat = request.path.startswith(("/read/", "/chat/"))
        if len(items) > 1 and not may_repeat:
            broken.append(f"{name}: {request.path} ran {len(items)} times")
        if request.status in PROMISES and not may_repeat:
            broken.append(f"{name}: answered {request.status} and has run")
        if any("authorization" in item.headers for item in items):
            broken.append(f"{name}: a runner saw the key")
        if any(item.body not in (b"", request.body) for item in items):
            broken.append(f"{name}: the body was changed")
    return broken


def _check_answers(sent: dict[str, SentRequest]) -> list[str]:
    broken = []
    for request in sent.values():
        if request.status != 200 or request.answer is None:
            continue
        if request.path.startswith(("/read/", "/book/")):
            body = b"" if request.path.startswith("/read/") else request.body
            expected = b"done " + body
        else:
            expected = b"".join(
                b"id: %d\ndata: piece %d\n\n" % (number, number)
                for number in range(1, EVENTS + 1)
            )
        if request.answer != expected:
            broken.append(f"{request.id}: {request.path} got {request.answer!r}")
    return broken


def _check_revoked(
    fleet: SoakFleet,
    sent: dict[str, SentRequest],
    runs: dict[str, list[ReceivedRequest]],
) -> list[str]:
    broken = []
    for request in sent.values():
        revoked_s = fleet.revoked.get(request.key)
        if revoked_s is None or request.sent_s < revoked_s + REVOKE_S:
            continue
        if request.id in runs:
            late_s = request.sent_s - revoked_s
            broken.append(f"{request.id}: ran {late_s:.2f} s after its key had gone")
    return broken


def _check_leaving(fleet: SoakFleet) -> list[str]:
    broken = []
    for name, left_s, back_s in fleet.absences:
        for item in list(fleet.runners[name].received):
            if left_s + DRAIN_S < item.received_s < back_s:
                late_s = item.received_s - left_s
                broken.append(f"{name}: got work {late_s:.2f} s after it had left")
    return broken


def _check_lost(
    sent: dict[str, SentRequest], runs: dict[str, list[ReceivedRequest]]
) -> list[str]:
    # A request that crosses the close of its connection and is passed on to
    # nobody is not lost: its caller may send it again.
    return [
        f"{request.id}: {request.path} ran and has no whole answer"
        for request in sent.values()
        if request.id in runs and request.status != 0 and request.answer is None
    ]
