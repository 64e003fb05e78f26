"""Simple stand-ins for external systems, for tests, demo and benchmarks."""

from oriolepaddle.standins.engine import EngineFaults, EngineStandin, ReceivedRequest
from oriolepaddle.standins.loopback import LoopbackNetwork
from oriolepaddle.standins.platform import PlatformStandin
from oriolepaddle.standins.publisher import TicketPublisher, make_key, make_object
from oriolepaddle.standins.relay import RelayMode, RelayStandin
from oriolepaddle.standins.service import ServiceStandin

__all__ = [
    "EngineFaults",
    "EngineStandin",
    "LoopbackNetwork",
    "PlatformStandin",
    "ReceivedRequest",
    "RelayMode",
    "RelayStandin",
    "ServiceStandin",
    "TicketPublisher",
    "make_key",
    "make_object",
]
