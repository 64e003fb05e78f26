"""A small fleet and the check that no window holds more than it may."""

from datetime import timedelta

from experiments.limits.fleet import Fleet
from oriolepaddle.config import Entry
from oriolepaddle.config.model import DataCentre, ObjectKind, Organisation
from oriolepaddle.errors import RefusedError
from oriolepaddle.limits import LimitSettings

SETTINGS = LimitSettings(
    loan=timedelta(seconds=4),
    renew_interval=timedelta(seconds=1),
    pool_interval=timedelta(seconds=1),
    mint_lease=timedelta(seconds=10),
    max_list_lag=timedelta(seconds=3),
    max_list_age=timedelta(seconds=5),
    backoff=timedelta(seconds=1),
)
ORGANISATION = Organisation(id="norddal", rate_tokens_per_s=100, burst_tokens=1000)


def make_entry(value, number=1):
    kinds = {
        Organisation: ObjectKind.ORGANISATION,
        DataCentre: ObjectKind.DATA_CENTRE,
    }
    return Entry(kinds[type(value)], value.id, number, value, document=str(value))


def make_fleet(instances, drifts=(), settings=SETTINGS):
    """Start a fleet of `{name: data centre}` and let it grow its claims."""
    centres = sorted(set(instances.values()))
    entries = [make_entry(ORGANISATION)]
    entries += [make_entry(DataCentre(centre, region=centre)) for centre in centres]
    fleet = Fleet(settings, tuple(entries))
    drifts = dict(zip(instances, drifts, strict=False))
    for name, centre in instances.items():
        fleet.start(name, centre, drifts.get(name, 0.0))
    fleet.run(20)
    return fleet


class UseLog:
    """Everything that was admitted, against one bucket for the whole fleet."""

    def __init__(self, organisation=ORGANISATION):
        self.uses = []
        self._limits = []
        self.limit(0.0, organisation.rate_tokens_per_s, organisation.burst_tokens)

    def add(self, now_s, reservation):
        self.uses.append([now_s, reservation.tokens, reservation])
        return len(self.uses) - 1

    def settle(self, index, used):
        use = self.uses[index]
        if use[2] is not None:
            use[2].settle(used)
            use[1] = min(use[1], used)
            use[2] = None

    def limit(self, now_s, rate, burst):
        """Note the highest rate and burst in force anywhere from now on."""
        if not self._limits or self._limits[-1][2:] != (rate, burst):
            self._limits.append((len(self.uses), now_s, rate, burst))

    def overshoot(self):
        """Return the most by which any window exceeds rate x time + burst.

        A token bucket that starts full is in debt exactly when some window
        holds more than that.
        """
        limits = list(self._limits)
        _, at_s, rate, burst = limits.pop(0)
        balance, worst = burst, 0.0
        for index, (used_s, tokens, _) in enumerate(self.uses):
            while limits and limits[0][0] <= index:
                _, changed_s, new_rate, new_burst = limits.pop(0)
                balance = min(burst, balance + rate * (changed_s - at_s))
                rate, burst, at_s = new_rate, new_burst, changed_s
            balance = min(burst, balance + rate * (used_s - at_s)) - tokens
            at_s = used_s
            worst = max(worst, -balance)
        return worst


def try_reserve(fleet, log, name, tokens, organisation=ORGANISATION):
    """Reserve at one instance; return the index in the log, or None."""
    try:
        reservation = fleet.nodes[name].limiter.reserve(organisation, tokens)
    except RefusedError:
        return None
    return log.add(fleet.now_s, reservation)


def drain(fleet, log, names, tokens=10.0, organisation=ORGANISATION):
    """Take all that can be had at some instances right now."""
    for name in names:
        while try_reserve(fleet, log, name, tokens, organisation) is not None:
            pass


def claims(fleet):
    """Return each running instance's part of the whole."""
    return {
        name: round(node.limiter.snapshot(ORGANISATION).claim, 3)
        for name, node in fleet.nodes.items()
    }
