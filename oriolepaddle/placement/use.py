"""How much of the own region's capacity for a service is in use.

Handles peaks that move between regions: other regions hand over requests by what a
region has free, which its shortest wait does not show.
"""

from oriolepaddle.catalog import Catalog, EndpointService
from oriolepaddle.placement.job import Job
from oriolepaddle.placement.placer import Placer

__all__ = ["find_used_fraction"]


def find_used_fraction(catalog: Catalog, placer: Placer, service: str) -> float:
    """Return the part of the own region's capacity that is in use, from 0 to 1.

    It is the part of the slots that are taken, or for engines the part of them that
    has prompts to prefill if that is larger. Without usable endpoints it is 1.

    Args:
        catalog: The endpoints and services.
        placer: Knows the load of the own region.
        service: The service.
    """
    scores = placer.explain(Job(service))
    if not scores:
        return 1.0
    document = catalog.document
    services = document.services if document else {}
    engine = services.get(service, EndpointService(service)).engine
    running = sum(score.running for score in scores)
    if engine is not None:
        reading = sum(score.unread_tokens > 0 for score in scores)
        used = max(reading, running / engine.slots) / len(scores)
        return min(1.0, used)
    slots = {item.id: item.slots for item in catalog.endpoints()}
    total = sum(slots.get(score.endpoint, 0) for score in scores)
    return min(1.0, running / max(1, total))
