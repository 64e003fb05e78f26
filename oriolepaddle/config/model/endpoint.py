"""Endpoints: the back ends that run requests."""

import attrs

__all__ = ["Endpoint"]


@attrs.frozen
class Endpoint:
    """A model engine or a plain service's instance.

    Attributes:
        id: Its name.
        data_centre: The data centre in which it stands.
        address: `host:port`, the host by IP number.
        routes: Ids of the routes that it serves.
        slots: Requests that it runs side by side.
        prefill_tokens_per_s: Published speed of prefill, a first guess until
            it has been measured.
        decode_tokens_per_s: Published speed of one stream's decode.
        cache_tokens: Size of its prefix cache.
        leaving: Whether it gets no new work.
        is_fenced: Whether it refuses an order with an old fencing number.
    """

    id: str
    data_centre: str
    address: str
    routes: tuple[str, ...]
    slots: int = 8
    prefill_tokens_per_s: float = 4000.0
    decode_tokens_per_s: float = 40.0
    cache_tokens: int = 100_000
    leaving: bool = False
    is_fenced: bool = True
