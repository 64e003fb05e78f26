"""The gauges of an edge instance."""

from collections.abc import Callable, Mapping, Sequence

from oriolepaddle.buffers import BufferBudget, DescriptorBudget, HeldKind
from oriolepaddle.metrics import GatewayMetrics
from oriolepaddle.web import HttpServer
from oriolepaddle.web.shedding import ConnectionPhase

__all__ = ["add_gauges", "make_client_gauges"]

DESCRIPTIONS = {
    "config_ticket": "Version of the configuration.",
    "config_age_seconds": "Time since the configuration was surely the newest.",
    "endpoints_age_seconds": (
        "Time since the known endpoints were surely all there were."
    ),
    "store_era": "How often the store was restored; -1 if it doesn't say.",
    "store_calls": "Calls to the store so far.",
    "peers_reachable": "Instances that were heard of late.",
    "requests_in_flight": "Requests being served.",
    "malformed_requests": "Requests that could not be read, so far.",
    "descriptors": "Open descriptors of the process; -1 if they can't be counted.",
    "idle_endpoint_connections": "Kept connections to endpoints and instances.",
    "buffered_bytes": "Bytes of bodies held in memory.",
    "buffers_refused": "Bodies or parts that found no memory, so far.",
    "requests_queued": "Requests that wait for those that are due sooner.",
    "requests_handed_over": "Late requests handed over to other regions, so far.",
    "requests_not_handed_over": "Late requests that no other region gets, so far.",
    "header_bytes": "Bytes of request headers held in memory.",
    "request_body_bytes": "Bytes of request bodies held in memory.",
    "response_body_bytes": "Bytes of response bodies held in memory.",
    "largest_client_bytes": "Bytes held for the client address with most.",
    "connections": "Open connections of clients.",
    "connections_refused": "Connections refused as all threads were taken, so far.",
    "connections_shed_idle": "Idle connections closed for others, so far.",
    "connections_shed_receiving": (
        "Connections closed for others while their clients sent nothing, so far."
    ),
    "connections_shed_stalled": (
        "Connections closed for others as their clients had stopped reading, so far."
    ),
    "client_descriptors": "Descriptors of clients' connections and requests.",
    "chunk_turns_delayed": "Turns of senders of tiny chunks that had to wait, so far.",
    "client_descriptors_refused": "Connections or requests without one, so far.",
    "paced_endpoints": "Endpoints that have reported their pace.",
    "ready": "1 while callers may be sent here.",
    "draining": "1 while the instance stops.",
}


def add_gauges(
    metrics: GatewayMetrics, values: Mapping[str, Callable[[], float]]
) -> None:
    """Add the gauges to an instance's metrics.

    Args:
        metrics: The metrics that the gauges are added to.
        values: Functions that read each gauge's value, by the gauge's name.
    """
    for name, description in DESCRIPTIONS.items():
        metrics.add_gauge(name, description, values[name])


def make_client_gauges(
    buffers: BufferBudget,
    descriptors: DescriptorBudget,
    find_servers: Callable[[], Sequence[HttpServer]],
) -> dict[str, Callable[[], float]]:
    """Return the gauges of what the process holds for its clients.

    Args:
        buffers: The bytes that are held.
        descriptors: The descriptors that are held.
        find_servers: Returns the listeners.
    """

    def _count_shed(phase: ConnectionPhase) -> Callable[[], float]:
        return lambda: sum(server.count_shed(phase) for server in find_servers())

    return {
        **{
            f"{kind.value}_bytes": lambda k=kind: buffers.count_kind(k)
            for kind in HeldKind
        },
        "largest_client_bytes": lambda: buffers.largest_holder_bytes,
        "connections": lambda: sum(item.connection_count for item in find_servers()),
        "connections_refused": lambda: sum(
            item.refused_connections for item in find_servers()
        ),
        "connections_shed_idle": _count_shed(ConnectionPhase.IDLE),
        "connections_shed_receiving": _count_shed(ConnectionPhase.RECEIVING),
        "connections_shed_stalled": _count_shed(ConnectionPhase.STALLED),
        "client_descriptors": lambda: descriptors.used,
        "client_descriptors_refused": lambda: descriptors.refused,
    }
