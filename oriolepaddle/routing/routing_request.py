"""The properties of a request that its routing depends on."""

import attrs

from oriolepaddle.config.model import Organisation, Route

__all__ = ["RoutingRequest"]


@attrs.frozen
class RoutingRequest:
    """A request for which an endpoint or another data centre is to be chosen.

    Attributes:
        id: The request's id.
        route: The requested route.
        organisation: Its organisation, or None on a route open to all.
        prompt_tokens: Estimated number of tokens of the prompt.
        output_tokens: Maximum number of tokens of the answer.
        prefix_hashes: Cumulative hashes of the prompt's blocks, first block first.
        deadline_s: Monotonic time by which the whole answer must be sent.
        hops: Instances that forwarded the request, this one not included.
        excluded: Ids of endpoints that have already failed the request.
    """

    id: str
    route: Route
    organisation: Organisation | None
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    deadline_s: float
    hops: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()
