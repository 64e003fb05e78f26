"""Conclusions from the reports of crashes.

Answers the load in which one part of many prompts, no two alike, crashes every
endpoint that begins to answer it, while sound prompts share all other parts.
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
REQUEST_WEIGHT = 3
"""Weight of a crash as evidence against a whole request: two are enough."""
SIMULTANEOUS_S = 1.0
"""Crashes within this time count once against what only waited, since a failure of
many endpoints at once is not the work of what they ran."""
Evidence = dict[str, dict[str, int]]


@attrs.frozen
class Verdicts:
    """What is suspected of crashes, and what is refused.

    Attributes:
        crashes: The crashes that each suspect may have caused.
        causes: The keys that are known to be a cause.
        rivals: The keys that explain the crashes of an accused part as well.
    """

    crashes: Mapping[str, frozenset[str]] = attrs.Factory(dict)
    causes: frozenset[str] = frozenset()
    rivals: Mapping[str, frozenset[str]] = attrs.Factory(dict)

    def is_refused(self, keys: RequestKeys) -> bool:
        """Return whether a request would crash the endpoint that runs it.

        It would if it has a cause, or an accused part with all of its rivals: one of
        them is the cause, whichever it is.
        """
        if not keys.all.isdisjoint(self.causes):
            return True
        return any(
            part in self.rivals and self.rivals[part] <= keys.parts
            for part in keys.parts
        )

    def find_suspects(self, keys: RequestKeys) -> frozenset[str]:
        """Return what of a request is suspected."""
        return frozenset(part for part in keys.parts if part in self.crashes)


def find_verdicts(reports: Iterable[CrashReport]) -> Verdicts:
    """Return the conclusions from all reports."""
    ordered = sorted(reports, key=lambda report: report.recorded_s)
    evidence = _weigh_parts(ordered)
    rivals = find_rivals(evidence, EVIDENCE_LIMIT)
    causes = {part: evidence[part] for part, others in rivals.items() if not others}
    explained = frozenset().union(*causes.values())
    unexplained = {
        part: {crash: found[crash] for crash in found.keys() - explained}
        for part, found in evidence.items()
        if part not in causes
    }
    requests = _find_refused_requests(ordered, explained)
    crashes = unexplained | causes | requests
    return Verdicts(
        crashes={key: frozenset(found) for key, found in crashes.items() if found},
        causes=frozenset(causes.keys() | requests.keys()),
        rivals=find_rivals(unexplained, EVIDENCE_LIMIT),
    )


def _weigh_parts(ordered: list[CrashReport]) -> Evidence:
    evidence: Evidence = defaultdict(dict)
    last_counted_s: dict[str, float] = defaultdict(lambda: float("-inf"))
    for report in ordered:
        for part in report.find_suspect_parts():
            if part in report.answering:
                weight = ANSWERING_WEIGHT
            elif report.recorded_s - last_counted_s[part] < SIMULTANEOUS_S:
                weight = 0
            else:
                weight = WAITING_WEIGHT
            if weight:
                last_counted_s[part] = report.recorded_s
            evidence[part][report.incarnation] = weight
    return dict(evidence)


def _find_refused_requests(
    ordered: list[CrashReport], explained: frozenset[str]
) -> Evidence:
    evidence: Evidence = defaultdict(dict)
    for report in ordered:
        if report.incarnation not in explained:
            for request in report.requests - report.cleared:
                evidence[request][report.incarnation] = REQUEST_WEIGHT
    return {
        request: found
        for request, found in evidence.items()
        if sum(found.values()) >= EVIDENCE_LIMIT
    }
