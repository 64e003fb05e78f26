"""Routes, by which callers address models and services."""

import enum

import attrs

__all__ = ["Route", "RouteKind"]


class RouteKind(enum.StrEnum):
    """What serves the requests of a route."""

    MODEL = "model"
    SERVICE = "service"


@attrs.frozen
class Route:
    """A model, or a plain service, that callers may use.

    Attributes:
        id: The model's name in a request, or the first segment after
            `/services/` of the path.
        kind: Whether model engines or a plain service serve it.
        open: Whether it may be used without a key.
        idempotent: Whether a request may be run more than once. For a service,
            this applies to methods other than GET, HEAD and OPTIONS.
        residency: Regions in which it may be served; empty for any. A request must
            satisfy both this and its organisation's residency.
        deadline_s: Seconds within which the whole response must be sent.
        first_byte_s: Seconds within which the response's first byte must be sent.
        max_output_tokens: Tokens reserved for the output of a request that sets no
            limit of its own.
    """

    id: str
    kind: RouteKind
    open: bool = False
    idempotent: bool = False
    residency: tuple[str, ...] = ()
    deadline_s: float = 120.0
    first_byte_s: float = 30.0
    max_output_tokens: int = 512
