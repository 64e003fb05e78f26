"""The report `InstanceReport`."""

import attrs

__all__ = ["InstanceReport"]


@attrs.frozen
class InstanceReport:
    """Another instance as this one sees it."""

    id: str
    data_centre: str
    state: str
    is_reachable: bool
    incarnation: int | None
    caller_address: str
