"""An endpoint that may run a request."""

import attrs

from oriolepaddle.config.model import Endpoint
from oriolepaddle.routing.endpoint_tracker import EndpointTracker
from oriolepaddle.routing.prefix import BLOCK_TOKENS
from oriolepaddle.routing.routing_request import RoutingRequest

__all__ = ["Candidate"]


@attrs.frozen
class Candidate:
    """An allowed endpoint with what is expected of it for one request.

    Attributes:
        endpoint: The endpoint.
        tracker: What is known of it.
        request: The request.
        queueing_s: Seconds until the request would begin to run.
        cached_tokens: Prompt tokens expected in its prefix cache.
        is_usable: Whether it has a free place for one more request of this
            instance; while it returns from a failure it has few.
        is_up: Whether its last request did not fail.
    """

    endpoint: Endpoint
    tracker: EndpointTracker
    request: RoutingRequest
    queueing_s: float
    cached_tokens: float
    is_usable: bool
    is_up: bool

    @property
    def missing_tokens(self) -> float:
        """Prompt tokens to be computed."""
        return max(0.0, self.request.prompt_tokens - self.cached_tokens)

    @property
    def prefill_s(self) -> float:
        """Seconds of prefill for the missing tokens."""
        return self.missing_tokens / self.tracker.prefill_tokens_per_s.value

    @property
    def missing_blocks_s(self) -> float:
        """Seconds of prefill for whole blocks that a cache could hold."""
        blocks = len(self.request.prefix_hashes) * BLOCK_TOKENS
        missing = max(0.0, blocks - self.cached_tokens)
        return missing / self.tracker.prefill_tokens_per_s.value

    @property
    def whole_prefill_s(self) -> float:
        """Seconds of prefill if nothing were cached."""
        return self.request.prompt_tokens / self.tracker.prefill_tokens_per_s.value
