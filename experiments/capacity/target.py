"""The target scale of the deployment."""

import attrs

__all__ = ["TargetScale"]

DAY_S = 86_400


@attrs.frozen
class TargetScale:
    """The target scale and the assumed traffic.

    Attributes:
        instances: Entry instances.
        endpoints: Endpoints, one for each runner.
        data_centres: Data centres.
        organisations: Organisations, each with one key.
        requests_per_s: Requests of callers a second.
        tokens_per_s: Generated tokens a second.
        changes_per_day: Configuration changes a day.
        restarts_per_day: Instances restarted or replaced a day.
        prompt_characters: Assumed length of a prompt in characters.
        order_share: Assumed fraction of requests that are orders.
        failed_share: Assumed fraction of attempts that fail.
        active_organisations: Assumed organisations with traffic at the same time.
        watches: Long polls that each instance has open at the configuration service.
        watch_s: Timeout of a long poll in seconds.
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
        """Mean number of endpoints in one data centre."""
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
        """Configuration changes a second."""
        return self.changes_per_day / DAY_S

    @property
    def steady_calls_per_s(self) -> float:
        """Calls a second to the configuration service.

        Each change ends a long poll of every instance, which calls again.
        """
        timeouts_per_s = self.watches / self.watch_s
        # A restart changes the instance list twice: on leaving and on rejoining.
        wakeups_per_s = self.changes_per_s + 2 * self.restarts_per_day / DAY_S
        return self.instances * (timeouts_per_s + wakeups_per_s)
