"""The identity of a crash."""

import attrs

__all__ = ["Crash"]


@attrs.frozen(order=True)
class Crash:
    """A crash of an endpoint, named alike by every instance that saw it.

    Attributes:
        endpoint: The endpoint's id.
        incarnation: The life that the crash ended, as the endpoint names it.
        ordinal: Tells apart reports of the same life after the first of them
            was refuted.
    """

    endpoint: str
    incarnation: str
    ordinal: int = 0
