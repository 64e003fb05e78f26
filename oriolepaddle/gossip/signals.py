"""Conversion of endpoints' signals to and from records of announcements."""

import math

from oriolepaddle.gossip.numbers import to_ms, to_seconds
from oriolepaddle.peers.gen_py.gossip.ttypes import EndpointLimit, LeavingEndpoint
from oriolepaddle.signals import LeavingEntry, LimitEntry

__all__ = ["read_leaving", "read_limit", "write_leaving", "write_limit"]


def write_limit(entry: LimitEntry, now_s: float) -> EndpointLimit:
    """Return the record that announces an endpoint's limit to other instances."""
    return EndpointLimit(
        entry.incarnation, to_ms(now_s - entry.stated_s), entry.limit_per_s
    )


def read_limit(record: EndpointLimit, now_s: float, origin: str) -> LimitEntry | None:
    """Return an endpoint's limit with its time by this instance's clock.

    Returns:
        None if the limit is no number of requests.
    """
    limit_per_s = record.limit_per_s
    if limit_per_s is not None and not (
        math.isfinite(limit_per_s) and limit_per_s >= 0
    ):
        return None
    return LimitEntry(
        record.incarnation, limit_per_s, now_s - to_seconds(record.age_ms), origin
    )


def write_leaving(entry: LeavingEntry, now_s: float) -> LeavingEndpoint:
    """Return the record that announces a leaving endpoint to other instances."""
    return LeavingEndpoint(entry.incarnation, to_ms(now_s - entry.heard_s))


def read_leaving(record: LeavingEndpoint, now_s: float, origin: str) -> LeavingEntry:
    """Return a leaving endpoint with its time by this instance's clock."""
    return LeavingEntry(record.incarnation, now_s - to_seconds(record.age_ms), origin)
