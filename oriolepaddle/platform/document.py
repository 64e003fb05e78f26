"""Decoding the published configuration."""

from datetime import timedelta
from typing import Any

from oriolepaddle.catalog import (
    CallerLimits,
    ConfigDocument,
    EndpointService,
    EngineProfile,
    HostRoute,
    RatedOrganisation,
    RepeatRule,
    ServiceWeight,
)
from oriolepaddle.config import digest_key
from oriolepaddle.config.model import Organisation
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.platform.decoding import (
    DECODE_ERRORS,
    parse_fields,
    read_flag,
    read_list,
)

__all__ = ["decode_document"]

TOKEN_UNIT = "token_count"
STREAM = "stream"
SAFE = "safe"


def decode_document(text: bytes) -> ConfigDocument:
    """Return the configuration in a published document.

    Raises:
        PlatformUnavailableError: The document is invalid.
    """
    try:
        return _decode(parse_fields(text), text)
    except DECODE_ERRORS as error:
        raise PlatformUnavailableError(
            f"the published configuration is invalid: {error!r}"
        ) from error


def _decode(fields: dict[str, Any], text: bytes) -> ConfigDocument:
    routes: dict[str, list[HostRoute]] = {}
    for item in read_list(fields, "routes"):
        route = _decode_route(item)
        routes.setdefault(route.host, []).append(route)
    organisations: dict[str, RatedOrganisation] = {}
    keys: dict[str, RatedOrganisation] = {}
    for item in read_list(fields, "tenants"):
        organisation = _decode_organisation(item)
        organisations[organisation.id] = organisation
        for key in read_list(item, "apiKeys"):
            keys[digest_key(key)] = organisation
    services = [_decode_service(item) for item in read_list(fields, "services")]
    return ConfigDocument(
        version=int(fields["version"]),
        routes={
            host: tuple(sorted(host_routes, key=lambda item: -len(item.path_prefix)))
            for host, host_routes in routes.items()
        },
        services={service.name: service for service in services},
        # An empty list leaves nobody to serve; a document without one needs no keys.
        organisations=organisations if "tenants" in fields else None,
        keys=keys,
        limits=_decode_limits(fields.get("limits") or {}),
        source=text,
    )


def _decode_route(item: dict[str, Any]) -> HostRoute:
    kind = item["kind"]
    services = tuple(
        ServiceWeight(part["service"], float(part["weight"]))
        for part in read_list(item, "split")
    )
    gap_ms = item.get("gapTargetMs")
    return HostRoute(
        name=item.get("name", item["pathPrefix"]),
        host=item["host"].lower(),
        path_prefix=item["pathPrefix"],
        services=services or (ServiceWeight(item["service"]),),
        repeat_rule=_find_repeat_rule(kind, read_flag(item, "resumable")),
        is_stream=kind == STREAM,
        # The longest time that the caller waits for the response.
        timeout=_to_duration(item["timeoutMs"]),
        # Not an objective of the gateway, but the time to the first byte within
        # which a response is on time.
        target=_to_duration(item.get("sloMs") or item["timeoutMs"]),
        longest_gap=_to_duration(gap_ms) if gap_ms else None,
        priority=int(item.get("priority") or 0),
        # Counts all runs including the first, not only retries.
        max_attempts=max(1, int(item.get("maxAttempts") or 1)),
        open=read_flag(item, "public"),
        residency=tuple(read_list(item, "homeRegions")),
    )


def _find_repeat_rule(kind: str, is_resumable: bool) -> RepeatRule:
    if kind == STREAM:
        return RepeatRule.RESUMABLE if is_resumable else RepeatRule.ONCE
    return RepeatRule.IDEMPOTENT if kind == SAFE else RepeatRule.ONCE


def _decode_service(item: dict[str, Any]) -> EndpointService:
    engine = item.get("engine")
    profile = None
    if engine:
        profile = EngineProfile(
            slots=int(engine["slots"]),
            # Shared by running requests and cached prefixes.
            cache_tokens=int(engine["kvCapacity"]),
        )
    return EndpointService(
        name=item["name"],
        health_path=item.get("healthPath", "/health"),
        # Per endpoint, for all callers together.
        max_connections=int(item.get("maxConns") or 0),
        cold_requests_per_s=float(item.get("coldPerS") or 0.0),
        engine=profile,
    )


def _decode_organisation(item: dict[str, Any]) -> RatedOrganisation:
    rate = float(item.get("ratePerS") or 0.0)
    priority = item.get("priority")
    return RatedOrganisation(
        organisation=Organisation(
            id=item["name"],
            rate_tokens_per_s=rate,
            burst_tokens=float(item.get("burst") or rate),
            residency=tuple(read_list(item, "homeRegions")),
        ),
        priority=None if priority is None else int(priority),
        is_token_rated=item.get("unit") == TOKEN_UNIT,
        plain_tokens=int(item.get("plainTokens") or 1),
    )


def _decode_limits(item: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    header_ms = _read_limit(item, "headerTimeoutMs")
    idle_ms = _read_limit(item, "idleTimeoutMs")
    return CallerLimits(
        max_header_bytes=_read_limit(item, "maxHeaderBytes")
        or default.max_header_bytes,
        max_body_bytes=_read_limit(item, "maxBodyBytes") or default.max_body_bytes,
        header_timeout=_to_duration(header_ms) if header_ms else default.header_timeout,
        idle_timeout=_to_duration(idle_ms) if idle_ms else default.idle_timeout,
    )


def _read_limit(item: dict[str, Any], name: str) -> int:
    """Return a whole number, 0 if the field is absent, null or 0."""
    value = item.get(name) or 0
    if value and int(value) < 1:
        raise ValueError(f"{name} is too small")
    return int(value)


def _to_duration(milliseconds: float) -> timedelta:
    return timedelta(milliseconds=float(milliseconds))
