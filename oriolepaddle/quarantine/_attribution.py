"""Attribution of crashes to the fingerprints that caused them."""

from collections.abc import Mapping, Set

from oriolepaddle.quarantine.crash import Crash

__all__ = ["find_causes"]


def find_causes(
    crashes: Mapping[bytes, Set[Crash]], crash_limit: int
) -> frozenset[bytes]:
    """Return the fingerprints that are the cause of their crashes.

    A fingerprint is a cause if at least `crash_limit` of its crashes can't be the
    work of any other one that was in flight at as many crashes. If two can explain
    each other's crashes, neither is a cause, and only a further run can decide.

    The result depends on nothing but the crashes. Instances that have merged the
    same reports agree on it, in whatever order the reports came.

    Args:
        crashes: The crashes at which each fingerprint was in flight, without those
            that it is known not to have caused.
        crash_limit: The number of crashes that make a fingerprint a cause.
    """
    candidates = {
        fingerprint: found
        for fingerprint, found in crashes.items()
        if len(found) >= crash_limit
    }
    return frozenset(
        fingerprint
        for fingerprint, found in candidates.items()
        if not any(
            len(others) >= len(found) and len(found - others) < crash_limit
            for other, others in candidates.items()
            if other != fingerprint
        )
    )
