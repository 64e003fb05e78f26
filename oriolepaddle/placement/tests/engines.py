"""Services, endpoints and requests for placement tests."""

import attrs

from oriolepaddle.catalog import (
    CatalogChange,
    CatalogReading,
    EndpointService,
    EndpointState,
    EngineProfile,
    RegisteredEndpoint,
)
from oriolepaddle.placement import Job, PromptPart

ENGINES, DESK = "engines", "desk"
SERVICES = {
    ENGINES: EndpointService(
        ENGINES, cold_requests_per_s=3.0, engine=EngineProfile(48, 300_000)
    ),
    DESK: EndpointService(DESK),
}


def register(catalog, name, service=ENGINES, **changes):
    endpoint = RegisteredEndpoint(
        name, 1, service, f"{name}:80", "nordur-a", 6, EndpointState.READY
    )
    endpoint = attrs.evolve(endpoint, **changes)
    change = CatalogChange(f"e/{name}", endpoint=endpoint)
    catalog.apply(CatalogReading((change,), 1), 0.0)
    return endpoint


def make_dossier(name, tokens=9000, max_first_byte_s=0.6):
    parts = (
        PromptPart("system", 2500),
        PromptPart(name, 4000),
        PromptPart(f"{name}-own", tokens - 6500),
    )
    return Job(ENGINES, parts, tokens, 50, max_first_byte_s)


def run(placer, job):
    choice = placer.choose(job)
    return choice, placer.start(choice, job)
