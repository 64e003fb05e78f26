"""Requests that were answered, which their digest may not identify."""

from collections import OrderedDict

from oriolepaddle.crashes.keys import RequestKeys

__all__ = ["AnsweredRequests"]

MAX_REQUESTS = 1024


class AnsweredRequests:
    """The digests of requests that were answered last. Not thread-safe.

    Many requests may differ in nothing but the last part of their prompt. Once one of
    them was answered, failures are recorded under the digest that includes this part.
    Otherwise one that crashes endpoints would have all of them refused.
    """

    def __init__(self) -> None:
        self._requests: OrderedDict[str, None] = OrderedDict()

    def add(self, keys: RequestKeys) -> None:
        """Add a request that was answered."""
        if not keys.exact:
            return
        self._requests[keys.request] = None
        self._requests.move_to_end(keys.request)
        if len(self._requests) > MAX_REQUESTS:
            self._requests.popitem(last=False)

    def find_key(self, keys: RequestKeys) -> str:
        """Return the digest under which a failure of a request is recorded."""
        if keys.exact and keys.request in self._requests:
            return keys.exact
        return keys.request
