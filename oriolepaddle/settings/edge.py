"""Settings of the daemon where one published document configures it."""

import json
from datetime import timedelta

import attrs

from oriolepaddle.errors import SettingsError
from oriolepaddle.settings.field import setting

__all__ = ["EdgeSettings", "parse_regions"]

SENDING_MARGIN = timedelta(milliseconds=800)
"""From the last check of a key to the request's arrival at an endpoint: a
connection that is made at the timeout, and the links' delay."""
STOPPING_MARGIN = timedelta(milliseconds=500)
"""To close what is open and end the process before it is killed."""


@attrs.frozen(kw_only=True)
class EdgeSettings:
    """The settings of `oriolepaddled serve-edge`.

    Each attribute is the flag of the same name with dashes, and the
    environment variable of the same name in capitals after `ORIOLEPADDLE_`.
    """

    instance: str = setting("", "Id of this instance, unique over the fleet.")
    data_centre: str = setting("", "Id of the data centre that it stands in.")
    regions: str = setting("", "JSON object: the region of each data centre.")
    size: float = setting(
        1.0, "Capacity relative to other instances.", low=0.01, high=100
    )
    cores: float = setting(
        1.0, "Factor on the size: the processor's speed.", low=0.01, high=1000
    )
    caller_address: str = setting(
        "", "IP:port to listen on for callers.", is_address=True
    )
    directory_address: str = setting(
        "",
        "IP:port to listen on for callers that ask which instance to use.",
        is_address=True,
    )
    peer_address: str = setting(
        "", "IP:port to listen on for other instances.", is_address=True
    )
    gossip_port: int = setting(
        7600, "UDP port of all instances' datagrams.", low=1, high=65_535
    )
    readiness_address: str = setting(
        "", "IP:port to listen on for readiness checks.", is_address=True
    )
    metrics_address: str = setting(
        "",
        "IP:port to listen on for metrics, beside the readiness address.",
        is_address=True,
        is_optional=True,
    )
    platform_address: str = setting(
        "", "IP:port of the platform's store.", is_address=True
    )
    seeds: str = setting(
        "",
        "Peer addresses (IP:port, ...) of instances to begin with.",
        is_optional=True,
    )
    peer_secret: str = setting(
        "", "Secret that all instances share, at least 16 characters.", min_length=16
    )
    operator_token: str = setting(
        "",
        "Token with which `oriolectl` may look at this instance through the "
        "metrics address; without one it may not.",
        is_optional=True,
        min_length=16,
    )
    max_connections: int = setting(
        600, "Callers' connections served side by side.", low=1, high=16_384
    )
    connect_timeout_s: float = setting(
        0.5, "Seconds to make a connection to an endpoint.", low=0.05, high=30
    )
    max_idle_s: float = setting(
        3.0,
        "Seconds after which a kept connection is not used again.",
        low=0,
        high=600,
    )
    withdrawal_bound_ms: float = setting(
        5000.0,
        "Milliseconds within which a withdrawn key must stop working everywhere; "
        "knowledge that is 0.8 s short of it serves no request with a key.",
        low=1000,
        high=86_400_000,
    )
    region_delay_ms: float = setting(
        80.0, "One-way delay to another region.", low=0, high=5000
    )
    retry_ratio: float = setting(
        0.2, "Repeats for each request, over all instances.", low=0, high=1
    )
    retry_extra: float = setting(
        50.0, "Repeats in each window beyond that, over all.", low=0, high=10_000
    )
    retry_window_s: float = setting(
        10.0, "Seconds of the window of repeats.", low=0.1, high=3600
    )
    stop_grace_s: float = setting(
        8.0,
        "Seconds from the signal to stop until the process is killed; it ends "
        "0.5 s before that.",
        low=0.5,
        high=3600,
    )
    drain_refuse_s: float = setting(
        2.5,
        "Seconds from the signal to stop until new requests are refused; callers "
        "have learnt of other instances by then.",
        low=0,
        high=3600,
    )
    max_log_lines_per_s: int = setting(
        1000, "Log lines written in one second; more are counted.", low=1, high=100_000
    )
    log_level: str = setting(
        "INFO", "Least level that is logged.", choices=("DEBUG", "INFO", "WARNING")
    )

    @property
    def max_catalog_age(self) -> timedelta:
        """The age of the configuration above which keys are trusted no more."""
        return timedelta(milliseconds=self.withdrawal_bound_ms) - SENDING_MARGIN

    @property
    def drain_limit(self) -> timedelta:
        """The time from the signal to stop to the end of the process."""
        return timedelta(seconds=self.stop_grace_s) - STOPPING_MARGIN


def parse_regions(text: str) -> dict[str, str]:
    """Return the region of each data centre.

    Raises:
        SettingsError: The text is not a JSON object of names.
    """
    try:
        regions = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"--regions is not JSON: {error}") from error
    is_object = isinstance(regions, dict) and bool(regions)
    if not is_object or not all(isinstance(item, str) for item in regions.values()):
        raise SettingsError("--regions must map data centres to regions")
    return regions
