"""Conversion of crash reports to and from records of announcements."""

from oriolepaddle.crashes import CrashReport
from oriolepaddle.gossip.numbers import to_ms, to_seconds
from oriolepaddle.peers.gen_py.gossip.ttypes import EndpointCrash

__all__ = ["read_crash", "write_crash"]


def write_crash(report: CrashReport, now_s: float) -> EndpointCrash:
    """Return the record that announces a crash to other instances.

    Instances of earlier versions take the parts for those of an endpoint that has
    ended, so others go into fields that they don't read.
    """
    answering, waiting = sorted(report.answering), sorted(report.waiting)
    has_ended = report.has_ended
    return EndpointCrash(
        incarnation=report.incarnation,
        answering=answering if has_ended else [],
        waiting=waiting if has_ended else [],
        unconfirmed_answering=None if has_ended else answering,
        unconfirmed_waiting=None if has_ended else waiting,
        requests=sorted(report.requests),
        cut=sorted(report.cut),
        cleared=sorted(report.cleared),
        age_ms=to_ms(now_s - report.recorded_s),
    )


def read_crash(record: EndpointCrash, now_s: float) -> CrashReport:
    """Return the report of a crash, with its time by this instance's clock."""
    return CrashReport(
        record.incarnation,
        frozenset(record.answering).union(record.unconfirmed_answering or ()),
        frozenset(record.waiting).union(record.unconfirmed_waiting or ()),
        frozenset(record.requests),
        frozenset(record.cut or ()),
        frozenset(record.cleared),
        bool(record.answering or record.waiting),
        now_s - to_seconds(record.age_ms),
    )
