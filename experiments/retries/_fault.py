"""Faults and their injection into the endpoints."""

import enum

from experiments.retries._endpoint import EndpointModel
from experiments.retries._events import EventLoop

__all__ = ["FAULT_END_S", "FAULT_START_S", "Fault", "inject"]

FAULT_START_S = 20.0
FAULT_END_S = 100.0
FLAP_INTERVAL_S = 5.0
RESET_INTERVAL_S = 12.0
CRASH_INTERVAL_S = 12.0
SLOWNESS = 10.0
SILENT_SHARE = 0.2


class Fault(enum.StrEnum):
    """The fault from `FAULT_START_S` to `FAULT_END_S`."""

    NONE = "none"
    REFUSING = "one endpoint refuses all"
    REFUSING_BLIND = "one refuses all, routing blind"
    ALL_REFUSING = "all endpoints refuse all"
    FLAPPING = "one endpoint flaps"
    CRASHING = "one endpoint crashes"
    SLOW = "one endpoint slow tenfold"
    SILENT = "silent connections"
    REGION_LOST = "region lost"
    LINK_RESET = "link resets all connections"
    CRASHER = "crasher repeated"
    CRASHER_BURST = "crasher at all at once"


def inject(fault: Fault, loop: EventLoop, endpoints: list[EndpointModel]) -> None:
    """Schedule the start and the end of `fault`."""
    victims = _choose_victims(fault, endpoints)
    if fault is Fault.CRASHING:
        at_s = FAULT_START_S
        while at_s < FAULT_END_S:
            loop.schedule(at_s, victims[0].crash)
            at_s += CRASH_INTERVAL_S
        return
    if fault is Fault.LINK_RESET:
        at_s = FAULT_START_S
        while at_s < FAULT_END_S:
            for endpoint in endpoints:
                loop.schedule(at_s, endpoint.reset_connections)
            at_s += RESET_INTERVAL_S
        return
    if fault is Fault.FLAPPING:
        at_s = FAULT_START_S
        while at_s < FAULT_END_S:
            loop.schedule(at_s, _set_fault, fault, victims, True)
            loop.schedule(at_s + FLAP_INTERVAL_S, _set_fault, fault, victims, False)
            at_s += 2 * FLAP_INTERVAL_S
        return
    loop.schedule(FAULT_START_S, _set_fault, fault, victims, True)
    loop.schedule(FAULT_END_S, _set_fault, fault, victims, False)


def _choose_victims(
    fault: Fault, endpoints: list[EndpointModel]
) -> list[EndpointModel]:
    match fault:
        case Fault.ALL_REFUSING:
            return endpoints
        case Fault.REGION_LOST:
            return endpoints[:5]
        case Fault.SILENT:
            return endpoints[:3]
        case _:
            return endpoints[:1]


def _set_fault(fault: Fault, victims: list[EndpointModel], is_on: bool) -> None:
    for endpoint in victims:
        match fault:
            case Fault.SLOW:
                endpoint.slowness = SLOWNESS if is_on else 1.0
            case Fault.SILENT:
                endpoint.silent_share = SILENT_SHARE if is_on else 0.0
            case Fault.REGION_LOST if is_on:
                endpoint.drop_connections()
            case Fault.REGION_LOST:
                endpoint.is_down = False
            case (
                Fault.REFUSING
                | Fault.REFUSING_BLIND
                | Fault.ALL_REFUSING
                | Fault.FLAPPING
            ):
                endpoint.is_refusing = is_on
