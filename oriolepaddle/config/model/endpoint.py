"""Endpoints, which run the requests."""

import attrs

__all__ = ["Endpoint"]


@attrs.frozen
class Endpoint:
    """A model engine, or one instance of a plain service.

    Attributes:
        id: The endpoint's name.
        data_centre: Id of the data centre in which it runs.
        address: `host:port`, with an IP address as host.
        routes: Ids of the routes that it serves.
        slots: Number of requests that it runs concurrently.
        prefill_tokens_per_s: Published prefill throughput, used until it has been
            measured.
        decode_tokens_per_s: Published decode throughput of one stream.
        cache_tokens: Size of its prefix cache in tokens.
        leaving: Whether it is being withdrawn and gets no new requests.
        is_fenced: Whether it rejects an order with an outdated fencing number.
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
