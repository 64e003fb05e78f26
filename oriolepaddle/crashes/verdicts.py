"""Conclusions from the reports of crashes.

Answers two loads: one part of many prompts, no two alike, crashes every endpoint that
begins to answer it, while sound prompts share all other parts, however the end of the
endpoint looks to callers; and one request that
is sent again crashes every endpoint that runs it, at any stage of its response, while
sound requests are cut off beside it.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping

import attrs

from oriolepaddle.crashes.attribution import find_rivals
from oriolepaddle.crashes.keys import RequestKeys
from oriolepaddle.crashes.report import CrashReport

__all__ = ["Verdicts", "find_verdicts"]

EVIDENCE_LIMIT = 6
"""The sum of weights from which a key is accused."""
ANSWERING_WEIGHT = 3
"""Weight of a crash at which the response had begun: two are enough."""
WAITING_WEIGHT = 2
"""Weight of a crash at which the run only waited: three are needed, as a busy
endpoint has many such runs."""
BROKEN_ANSWERING_WEIGHT = 2
"""Weight of a response that broke off before its first event, without a sign that the
endpoint ended: three are needed. A reset rarely meets this moment."""
BROKEN_WAITING_WEIGHT = 1
"""Weight of a run that only waited when its connection broke, without such a sign: six
are needed, without an event between them, as each reset meets many such runs."""
SUSPECT_LIMIT = 3
"""Sum of weights from which a part without a confirmed crash is tested by one run at a
time. A single reset must not delay sound prompts."""
REQUEST_WEIGHT = 3
"""Weight of a crash as evidence against a whole request: two are enough."""
CUT_WEIGHT = 2
"""Weight of a request that was cut off later, or without a sign of a crash: three are
needed, as long streams are often cut off by what others do."""
REQUEST_CRASH_LIMIT = 3
"""Crashes after which a whole request is refused even if another one was at all of
them too."""
SIMULTANEOUS_S = 1.0
"""Crashes within this time count once against what only waited or was cut off, since
a failure of many endpoints at once is not the work of what they ran."""
SIMULTANEOUS_BREAK_S = 0.25
"""The same for responses that broke off without a sign that the endpoint ended. What
resets connections to many endpoints does so within some milliseconds."""
Evidence = dict[str, dict[str, int]]


@attrs.frozen
class Verdicts:
    """What is suspected of crashes, and what is refused.

    Attributes:
        crashes: The crashes that each suspect may have caused.
        causes: The keys that are known to be a cause.
        rivals: The keys that explain the crashes of an accused part as well: parts,
            and whole requests that were at all of them.
        tested: The parts of which one run at a time may start.
    """

    crashes: Mapping[str, frozenset[str]] = attrs.Factory(dict)
    causes: frozenset[str] = frozenset()
    rivals: Mapping[str, frozenset[str]] = attrs.Factory(dict)
    tested: frozenset[str] = frozenset()

    def is_refused(self, keys: RequestKeys) -> bool:
        """Return whether a request would crash the endpoint that runs it.

        It would if it has a cause, or an accused part with all of its rivals: one of
        them is the cause, whichever it is.
        """
        if not keys.all.isdisjoint(self.causes):
            return True
        return any(
            part in self.rivals and self.rivals[part] <= keys.all for part in keys.parts
        )

    def find_suspects(self, keys: RequestKeys) -> frozenset[str]:
        """Return what of a request is suspected."""
        return keys.parts & self.tested


def find_verdicts(reports: Iterable[CrashReport]) -> Verdicts:
    """Return the conclusions from all reports."""
    ordered = sorted(reports, key=lambda report: report.recorded_s)
    parts = _weigh_parts(ordered)
    requests = _weigh_requests(ordered)
    rivals = _find_part_rivals(parts, requests)
    causes = {part: parts[part] for part, others in rivals.items() if not others}
    explained = frozenset().union(*causes.values())
    unexplained = {
        part: _leave_out(found, explained)
        for part, found in parts.items()
        if part not in causes
    }
    refused = _find_refused_requests(
        {key: _leave_out(found, explained) for key, found in requests.items()}
    )
    crashes = unexplained | causes | refused
    confirmed = {report.incarnation for report in ordered if report.has_ended}
    tested = {
        part
        for part, found in (unexplained | causes).items()
        if not confirmed.isdisjoint(found) or sum(found.values()) >= SUSPECT_LIMIT
    }
    return Verdicts(
        crashes={key: frozenset(found) for key, found in crashes.items() if found},
        causes=frozenset(causes.keys() | refused.keys()),
        rivals=_find_part_rivals(unexplained, requests),
        tested=frozenset(tested),
    )


def _weigh_parts(ordered: list[CrashReport]) -> Evidence:
    evidence: Evidence = defaultdict(dict)
    last_counted_s: dict[str, float] = defaultdict(lambda: float("-inf"))
    for report in ordered:
        for part in report.find_suspect_parts():
            weight, simultaneous_s = _weigh_part(report, part)
            if report.recorded_s - last_counted_s[part] < simultaneous_s:
                weight = 0
            if weight:
                last_counted_s[part] = report.recorded_s
            evidence[part][report.incarnation] = weight
    return dict(evidence)


def _weigh_part(report: CrashReport, part: str) -> tuple[int, float]:
    """Return the weight of a report, and the time within which it counts once."""
    if part not in report.answering:
        weight = WAITING_WEIGHT if report.has_ended else BROKEN_WAITING_WEIGHT
        return weight, SIMULTANEOUS_S
    if report.has_ended:
        return ANSWERING_WEIGHT, 0.0
    return BROKEN_ANSWERING_WEIGHT, SIMULTANEOUS_BREAK_S


def _weigh_requests(ordered: list[CrashReport]) -> Evidence:
    evidence: Evidence = defaultdict(dict)
    last_counted_s: dict[str, float] = defaultdict(lambda: float("-inf"))
    for report in ordered:
        for request in report.whole_requests - report.cleared:
            if request in report.requests:
                weight = REQUEST_WEIGHT
            elif report.recorded_s - last_counted_s[request] < SIMULTANEOUS_S:
                weight = 0
            else:
                weight = CUT_WEIGHT
            if weight:
                last_counted_s[request] = report.recorded_s
            evidence[request][report.incarnation] = weight
    return {request: found for request, found in evidence.items() if len(found) > 1}


def _leave_out(found: dict[str, int], explained: frozenset[str]) -> dict[str, int]:
    return {crash: weight for crash, weight in found.items() if crash not in explained}


def _find_part_rivals(parts: Evidence, requests: Evidence) -> dict[str, frozenset[str]]:
    rivals = find_rivals(parts, EVIDENCE_LIMIT)
    for part in rivals:
        crashes = parts[part].keys()
        repeated = [key for key, found in requests.items() if crashes <= found.keys()]
        rivals[part] |= frozenset(repeated)
    return rivals


def _find_refused_requests(evidence: Evidence) -> Evidence:
    rivals = find_rivals(evidence, EVIDENCE_LIMIT)
    return {
        request: evidence[request]
        for request, others in rivals.items()
        if not others or len(evidence[request]) >= REQUEST_CRASH_LIMIT
    }
