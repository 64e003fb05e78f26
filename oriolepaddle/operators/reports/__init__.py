"""The reports of the administration API."""

from oriolepaddle.operators.reports.endpoint import EndpointReport
from oriolepaddle.operators.reports.explained_route import ExplainedRoute
from oriolepaddle.operators.reports.instance import InstanceReport
from oriolepaddle.operators.reports.limit import LimitReport
from oriolepaddle.operators.reports.object import ObjectReport
from oriolepaddle.operators.reports.quarantine import QuarantineReport
from oriolepaddle.operators.reports.score import ScoreReport
from oriolepaddle.operators.reports.status import StatusReport

__all__ = [
    "EndpointReport",
    "ExplainedRoute",
    "InstanceReport",
    "LimitReport",
    "ObjectReport",
    "QuarantineReport",
    "ScoreReport",
    "StatusReport",
]
