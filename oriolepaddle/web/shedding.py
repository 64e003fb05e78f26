"""Which connections a server closes when it runs short of threads or descriptors.

The load is more clients than the server has room for, most of them slow. Pure decisions
over the state of the connections, without sockets.
"""

import enum
from collections import Counter
from collections.abc import Hashable, Iterable

import attrs

__all__ = ["ConnectionPhase", "ConnectionState", "choose_to_shed"]

MIN_WAIT_S = 0.2
"""A client that sends at a legal rate may pause for this long."""
MIN_STALL_S = 1.0
"""A client that reads takes some bytes within this time."""


class ConnectionPhase(enum.StrEnum):
    """What a connection is doing."""

    IDLE = "idle"
    RECEIVING = "receiving"
    SERVING = "serving"
    STALLED = "stalled"


@attrs.frozen
class ConnectionState:
    """The state of one connection.

    Attributes:
        key: Identifies the connection.
        client: The client's address.
        phase: What it is doing.
        since_s: Monotonic time since which it has waited for its client.
    """

    key: Hashable
    client: str
    phase: ConnectionPhase
    since_s: float


def choose_to_shed(
    states: Iterable[ConnectionState], now_s: float, count: int
) -> list[ConnectionState]:
    """Return the connections to close, the first one first.

    Idle connections come first, the one that is idle for longest before the others.
    Then come those that wait for their clients' bytes, and then those whose clients
    have stopped reading, each time those of the address with most connections first
    and of these the one that has waited longest. A response in progress to a client
    that reads is never chosen.

    Args:
        states: All connections.
        now_s: Monotonic time.
        count: The maximum number to return.
    """
    all_states = list(states)
    held = Counter(state.client for state in all_states)
    idle = [state for state in all_states if state.phase is ConnectionPhase.IDLE]
    idle.sort(key=lambda state: state.since_s)
    chosen = idle[:count]
    waits = (
        (ConnectionPhase.RECEIVING, MIN_WAIT_S),
        (ConnectionPhase.STALLED, MIN_STALL_S),
    )
    for phase, min_wait_s in waits:
        waiting = [
            state
            for state in all_states
            if state.phase is phase and now_s - state.since_s >= min_wait_s
        ]
        waiting.sort(key=lambda state: (-held[state.client], state.since_s))
        chosen += waiting[: count - len(chosen)]
    return chosen
