"""Values that the configuration service returns."""

import attrs

__all__ = ["ServiceReading", "ServiceValue"]


@attrs.frozen
class ServiceValue:
    """One key of the configuration service and its value.

    Attributes:
        key: The key.
        text: The value, at most 1 MB.
        revision: The service's revision that wrote the value.
    """

    key: str
    text: str
    revision: int


@attrs.frozen
class ServiceReading:
    """The result of one call.

    Attributes:
        values: The values, in the order of their revisions.
        revision: The revision up to which the reading is complete. The next watch
            starts after it.
        is_complete: Whether there are no more values after `revision`.
    """

    values: tuple[ServiceValue, ...]
    revision: int
    is_complete: bool = True
