"""Routes: what callers may ask for."""

import enum

import attrs

__all__ = ["Route", "RouteKind"]


class RouteKind(enum.StrEnum):
    """What stands behind a route."""

    MODEL = "model"
    SERVICE = "service"


@attrs.frozen
class Route:
    """A model, or a plain service, that callers may use.

    Attributes:
        id: The model's name in a request, or the first segment after
            `/services/` of the path.
        kind: Whether model engines or a plain service stand behind it.
        open: Whether anyone may use it without a key.
        idempotent: Whether a request may be run more than once. For a
            service, this holds for methods other than GET, HEAD and OPTIONS.
        residency: Regions in which it may be served; empty for any. A request
            is held to both this and its organisation's.
        deadline_s: Seconds until the whole answer must have been sent.
        first_byte_s: Seconds until the first byte of the answer.
        max_output_tokens: Tokens reserved for an answer whose request names
            no limit.
    """

    id: str
    kind: RouteKind
    open: bool = False
    idempotent: bool = False
    residency: tuple[str, ...] = ()
    deadline_s: float = 120.0
    first_byte_s: float = 30.0
    max_output_tokens: int = 512
