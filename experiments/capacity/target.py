"""The size aimed for."""

import attrs

__all__ = ["TargetScale"]

DAY_S = 86_400


@attrs.frozen
class TargetScale:
    """The size aimed for and what is assumed of the traffic.

    Attributes:
        instances: Entry instances.
        endpoints: Endpoints, one for each runner.
        data_centres: Data centres.
        organisations: Organisations, each with one key.
        requests_per_s: Requests of callers.
        tokens_per_s: Tokens generated.
        changes_per_day: Changes of configuration.
        restarts_per_day: Instances restarted or replaced.
        prompt_characters: Assumed length of a prompt.
        order_share: Assumed part of the requests that are orders.
        failed_share: Assumed part of the tries that fail.
        active_organisations: Assumed organisations with traffic at once.
        watches: Calls that each instance has waiting at the configuration service.
        watch_s: How long one waits, in seconds.
    """

    instances: int = 420
    endpoints: int = 3_700
    data_centres: int = 52
    organisations: int = 23_000
    requests_per_s: float = 8_800.0
    tokens_per_s: float = 2_000_000.0
    changes_per_day: float = 19_000.0
    restarts_per_day: float = 1_400.0
    prompt_characters: int = 4_000
    order_share: float = 0.05
    failed_share: float = 0.01
    active_organisations: int = 1_300
    watches: int = 3
    watch_s: float = 20.0

    @property
    def local_endpoints(self) -> float:
        """Endpoints of one data centre."""
        return self.endpoints / self.data_centres

    @property
    def requests_each_per_s(self) -> float:
        """Requests a second at one instance."""
        return self.requests_per_s / self.instances

    @property
    def tokens_each_per_s(self) -> float:
        """Tokens a second at one instance."""
        return self.tokens_per_s / self.instances

    @property
    def changes_per_s(self) -> float:
        """Changes of configuration a second."""
        return self.changes_per_day / DAY_S

    @property
    def steady_calls_per_s(self) -> float:
        """Calls a second on the configuration service; each change wakes all."""
        timeouts = self.watches / self.watch_s
        # A restart changes the instance list when it leaves and when it returns.
        wakes = self.changes_per_s + 2 * self.restarts_per_day / DAY_S
        return self.instances * (timeouts + wakes)
