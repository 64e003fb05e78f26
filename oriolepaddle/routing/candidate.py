"""An endpoint that may run a request."""

import attrs

from oriolepaddle.config.model import Endpoint
from oriolepaddle.routing.endpoint_tracker import EndpointTracker
from oriolepaddle.routing.prefix import BLOCK_TOKENS
from oriolepaddle.routing.routing_request import RoutingRequest

__all__ = ["Candidate"]


@attrs.frozen
class Candidate:
    """An allowed endpoint and its expected performance for one request.

    Attributes:
        endpoint: The endpoint.
        tracker: Its tracked performance.
        request: The request.
        queueing_s: Expected seconds until the request would begin to run.
        cached_tokens: Prompt tokens expected in its prefix cache.
        is_usable: Whether this instance may send it one more request; while it
            recovers from a failure its slots are limited.
        is_up: Whether it has not failed, or has succeeded since its last failure.
    """

    endpoint: Endpoint
    tracker: EndpointTracker
    request: RoutingRequest
    queueing_s: float
    cached_tokens: float
    is_usable: bool
    is_up: bool

    @property
    def uncached_tokens(self) -> float:
        """Prompt tokens to prefill."""
        return max(0.0, self.request.prompt_tokens - self.cached_tokens)

    @property
    def prefill_s(self) -> float:
        """Seconds of prefill for the uncached tokens."""
        return self.uncached_tokens / self.tracker.prefill_tokens_per_s.value

    @property
    def uncached_blocks_prefill_s(self) -> float:
        """Seconds of prefill for full blocks, which could have been cached."""
        blocks = len(self.request.prefix_hashes) * BLOCK_TOKENS
        uncached = max(0.0, blocks - self.cached_tokens)
        return uncached / self.tracker.prefill_tokens_per_s.value

    @property
    def full_prefill_s(self) -> float:
        """Seconds of prefill for the whole prompt if nothing were cached."""
        return self.request.prompt_tokens / self.tracker.prefill_tokens_per_s.value
