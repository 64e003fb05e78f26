"""Settings of `serve-edge`, the daemon that one published document configures."""

import json
from datetime import timedelta

import attrs

from oriolepaddle.errors import SettingsError
from oriolepaddle.settings.field import setting

__all__ = ["EdgeSettings", "parse_regions"]

SEND_MARGIN = timedelta(milliseconds=800)
"""Maximum time from the last check of a key to the arrival of the request at an
endpoint: a connection established just before its timeout, plus the network delay."""
EXIT_MARGIN = timedelta(milliseconds=500)
"""Time to close open resources and exit before the process is killed."""


@attrs.frozen(kw_only=True)
class EdgeSettings:
    """The settings of `oriolepaddled serve-edge`.

    Each attribute is the flag of the same name with dashes, and the
    environment variable of the same name in capitals after `ORIOLEPADDLE_`.
    """

    instance: str = setting("", "Id of this instance, unique in the fleet.")
    data_centre: str = setting("", "Id of this instance's data centre.")
    regions: str = setting("", "JSON object that maps each data centre to its region.")
    size: float = setting(
        1.0, "Capacity relative to other instances.", low=0.01, high=100
    )
    cores: float = setting(
        1.0, "Processor speed, a factor on the size.", low=0.01, high=1000
    )
    caller_address: str = setting(
        "", "IP:port to listen on for callers.", is_address=True
    )
    directory_address: str = setting(
        "",
        "IP:port to listen on for callers that query which instance to use.",
        is_address=True,
    )
    peer_address: str = setting(
        "", "IP:port to listen on for other instances.", is_address=True
    )
    gossip_port: int = setting(
        7600,
        "UDP port for gossip datagrams, the same on all instances.",
        low=1,
        high=65_535,
    )
    readiness_address: str = setting(
        "", "IP:port to listen on for readiness checks.", is_address=True
    )
    metrics_address: str = setting(
        "",
        "IP:port to listen on for metrics, in addition to the readiness address.",
        is_address=True,
        is_optional=True,
    )
    platform_address: str = setting(
        "", "IP:port of the platform's store.", is_address=True
    )
    seeds: str = setting(
        "",
        "Peer addresses (IP:port, ...) of the instances to contact first.",
        is_optional=True,
    )
    peer_secret: str = setting(
        "", "Shared secret of all instances, at least 16 characters.", min_length=16
    )
    operator_token: str = setting(
        "",
        "Token that lets `oriolectl` inspect this instance through the metrics "
        "address; without a token it cannot.",
        is_optional=True,
        min_length=16,
    )
    memory_mb: float = setting(
        0.0,
        "Memory limit of the process in MB, which bounds the bodies that it holds at "
        "once and the queues of its sockets; 0 if it is not known.",
        low=0,
        high=1_000_000,
    )
    max_connections: int = setting(
        600, "Maximum number of concurrent caller connections.", low=1, high=16_384
    )
    connect_timeout_s: float = setting(
        0.5, "Timeout in seconds for connecting to an endpoint.", low=0.05, high=30
    )
    max_idle_s: float = setting(
        3.0,
        "Idle time in seconds after which a connection is not reused.",
        low=0,
        high=600,
    )
    withdrawal_bound_ms: float = setting(
        5000.0,
        "Milliseconds within which a withdrawn key must stop working everywhere; "
        "a catalog older than this less 0.8 s serves no request with a key.",
        low=1000,
        high=86_400_000,
    )
    region_delay_ms: float = setting(
        80.0, "One-way delay to another region in milliseconds.", low=0, high=5000
    )
    retry_ratio: float = setting(
        0.2, "Retries allowed per request, over all instances.", low=0, high=1
    )
    retry_extra: float = setting(
        50.0,
        "Retries allowed per window in addition to the ratio, over all instances.",
        low=0,
        high=10_000,
    )
    retry_window_s: float = setting(
        10.0, "Length of the retry window in seconds.", low=0.1, high=3600
    )
    stop_grace_s: float = setting(
        8.0,
        "Seconds from the stop signal until the process is killed; it exits 0.5 s "
        "before that.",
        low=0.5,
        high=3600,
    )
    drain_refuse_s: float = setting(
        2.5,
        "Seconds from the stop signal until new requests are refused; by then "
        "callers have learned of other instances.",
        low=0,
        high=3600,
    )
    max_endpoint_pause_s: float = setting(
        600.0,
        "Longest pause in seconds that an endpoint may ask for with Retry-After; a "
        "longer one would take it away for good after one mistaken value.",
        low=1,
        high=86_400,
    )
    max_log_lines_per_s: int = setting(
        1000,
        "Maximum log lines per second; further lines are only counted.",
        low=1,
        high=100_000,
    )
    log_level: str = setting(
        "INFO", "Minimum level of log lines.", choices=("DEBUG", "INFO", "WARNING")
    )

    @property
    def max_catalog_age(self) -> timedelta:
        """The maximum age of the catalog at which its keys are still accepted."""
        return timedelta(milliseconds=self.withdrawal_bound_ms) - SEND_MARGIN

    @property
    def drain_limit(self) -> timedelta:
        """The time from the stop signal to the exit of the process."""
        return timedelta(seconds=self.stop_grace_s) - EXIT_MARGIN


def parse_regions(text: str) -> dict[str, str]:
    """Return the region of each data centre.

    Raises:
        SettingsError: The text is not a JSON object with string values.
    """
    try:
        regions = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"--regions is not JSON: {error}") from error
    is_object = isinstance(regions, dict) and bool(regions)
    if not is_object or not all(isinstance(item, str) for item in regions.values()):
        raise SettingsError("--regions must map data centres to regions")
    return regions
