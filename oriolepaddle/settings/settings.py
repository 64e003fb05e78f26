"""All settings of `serve`, with their units and ranges."""

import attrs

from oriolepaddle.settings.field import setting

__all__ = ["Settings"]


@attrs.frozen(kw_only=True)
class Settings:
    """The settings of `oriolepaddled serve`.

    Each attribute is the flag of the same name with dashes, and the
    environment variable of the same name in capitals after `ORIOLEPADDLE_`.
    """

    instance: str = setting("", "Id of this instance, unique in the fleet.")
    data_centre: str = setting("", "Id of this instance's data centre.")
    size: float = setting(
        1.0, "Capacity relative to other instances.", low=0.01, high=100
    )
    caller_address: str = setting(
        "127.0.0.1:8080", "IP:port to listen on for callers.", is_address=True
    )
    peer_address: str = setting(
        "127.0.0.1:8081", "IP:port to listen on for other instances.", is_address=True
    )
    operator_address: str = setting(
        "127.0.0.1:8082", "IP:port to listen on for operators.", is_address=True
    )
    advertised_caller_address: str = setting(
        "",
        "IP:port for callers, if it differs from the listen address.",
        is_address=True,
        is_optional=True,
    )
    advertised_peer_address: str = setting(
        "",
        "IP:port for other instances, if it differs from the listen address.",
        is_address=True,
        is_optional=True,
    )
    platform_address: str = setting(
        "", "IP:port of the platform's services.", is_address=True
    )
    seeds: str = setting(
        "",
        "Peers for starting without the platform: id@data_centre=IP:port, ...",
        is_optional=True,
    )
    peer_secret: str = setting(
        "", "Shared secret of all instances, at least 16 characters.", min_length=16
    )
    operator_token: str = setting(
        "", "Token for the administration API, at least 16 characters.", min_length=16
    )
    caller_tls_certificate: str = setting(
        "", "File of the callers' TLS certificate chain.", is_optional=True
    )
    caller_tls_key: str = setting(
        "", "File of the private key of that certificate.", is_optional=True
    )
    operator_tls_certificate: str = setting(
        "", "File of the operators' TLS certificate chain.", is_optional=True
    )
    operator_tls_key: str = setting(
        "", "File of the private key of that certificate.", is_optional=True
    )
    aim: str = setting(
        "worst-served",
        "Objective under overload.",
        choices=("worst-served", "tail-latency"),
    )
    max_staleness_s: float = setting(
        0.0,
        "Seconds without platform and peers after which requests with a key are "
        "refused; 0 for no limit.",
        low=0,
        high=86_400,
    )
    serve_without_catch_up: bool = setting(
        False, "Serve even if no platform or peer provides configuration at the start."
    )
    drain_limit_s: float = setting(
        60.0,
        "Seconds that a graceful shutdown waits for running requests.",
        low=0,
        high=3600,
    )
    memory_mb: float = setting(
        0.0,
        "Memory limit of the process in MB, which bounds the bodies that it holds at "
        "once and the queues of its sockets; 0 if it is not known.",
        low=0,
        high=1_000_000,
    )
    max_connections: int = setting(
        1024, "Maximum number of concurrent caller connections.", low=1, high=16384
    )
    max_body_bytes: int = setting(
        4_000_000, "Maximum size of a request body in bytes.", low=1000, high=64_000_000
    )
    header_timeout_s: float = setting(
        5.0, "Timeout in seconds for receiving a request header.", low=0.1, high=60
    )
    body_timeout_s: float = setting(
        20.0, "Timeout in seconds for receiving a request body.", low=0.1, high=600
    )
    idle_timeout_s: float = setting(
        30.0, "Seconds after which an idle connection is closed.", low=1, high=600
    )
    stall_timeout_s: float = setting(
        15.0,
        "Seconds without a byte after which an answer times out.",
        low=0.1,
        high=600,
    )
    connect_timeout_s: float = setting(
        1.0, "Timeout in seconds for connecting to an endpoint.", low=0.05, high=30
    )
    near_delay_ms: float = setting(
        1.5,
        "One-way delay in milliseconds to a data centre of this region.",
        low=0,
        high=1000,
    )
    far_delay_ms: float = setting(
        80.0,
        "One-way delay in milliseconds to a data centre of another region.",
        low=0,
        high=5000,
    )
    log_level: str = setting(
        "INFO", "Minimum level of log lines.", choices=("DEBUG", "INFO", "WARNING")
    )
    log_format: str = setting("text", "Format of log lines.", choices=("text", "json"))
