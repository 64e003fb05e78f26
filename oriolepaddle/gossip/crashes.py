"""Conversion of crash reports to and from records of announcements."""

from oriolepaddle.crashes import CrashReport
from oriolepaddle.gossip.numbers import to_ms, to_seconds
from oriolepaddle.peers.gen_py.gossip.ttypes import EndpointCrash

__all__ = ["read_crash", "write_crash"]


def write_crash(report: CrashReport, now_s: float) -> EndpointCrash:
    """Return the record that announces a crash to other instances."""
    return EndpointCrash(
        incarnation=report.incarnation,
        answering=sorted(report.answering),
        waiting=sorted(report.waiting),
        requests=sorted(report.requests),
        cut=sorted(report.cut),
        cleared=sorted(report.cleared),
        age_ms=to_ms(now_s - report.recorded_s),
    )


def read_crash(record: EndpointCrash, now_s: float) -> CrashReport:
    """Return the report of a crash, with its time by this instance's clock."""
    return CrashReport(
        record.incarnation,
        frozenset(record.answering),
        frozenset(record.waiting),
        frozenset(record.requests),
        frozenset(record.cut or ()),
        frozenset(record.cleared),
        now_s - to_seconds(record.age_ms),
    )
