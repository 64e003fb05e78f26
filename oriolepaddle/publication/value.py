"""What the configuration service returns."""

import attrs

__all__ = ["ServiceReading", "ServiceValue"]


@attrs.frozen
class ServiceValue:
    """One key of the configuration service.

    Attributes:
        key: The key.
        text: The value, at most 1 MB.
        revision: The service's revision at which the value was written.
    """

    key: str
    text: str
    revision: int


@attrs.frozen
class ServiceReading:
    """The values of one call.

    Attributes:
        values: The values, in the order of their revisions.
        revision: The revision up to which the reading is complete; pass it to
            the next watch.
        is_complete: Whether more values wait above `revision`.
    """

    values: tuple[ServiceValue, ...]
    revision: int
    is_complete: bool = True
