"""The report `StatusReport`."""

import attrs

__all__ = ["StatusReport"]


@attrs.frozen
class StatusReport:
    """The state of one instance at one time.

    Attributes:
        instance: The instance's id.
        data_centre: Its data centre.
        incarnation: The number of its current incarnation.
        is_ready: Whether it accepts requests.
        is_draining: Whether it is shutting down.
        highest_ticket: The highest ticket number that it has stored.
        objects: The number of live configuration objects.
        rejected_tickets: The number of tickets that violated the schema.
        peers_reachable: The number of peers that answer.
        requests_in_flight: The requests being served.
        knowledge_age_s: Seconds since the platform or a peer last confirmed the
            configuration, or None if neither did.
    """

    instance: str
    data_centre: str
    incarnation: int
    is_ready: bool
    is_draining: bool
    highest_ticket: int
    objects: int
    rejected_tickets: int
    peers_reachable: int
    requests_in_flight: int
    knowledge_age_s: float | None
