"""The identity of a crash."""

import attrs

__all__ = ["Crash"]


@attrs.frozen(order=True)
class Crash:
    """The id of an endpoint's crash, the same at every instance that observed it.

    If the endpoint reports no incarnation, the ids differ between instances.

    Attributes:
        endpoint: The endpoint's id.
        incarnation: The incarnation of the endpoint that crashed, or an id that the
            observing instance generated if the endpoint reports none.
        ordinal: Distinguishes reports of the same incarnation after an earlier
            one was dismissed.
    """

    endpoint: str
    incarnation: str
    ordinal: int = 0
