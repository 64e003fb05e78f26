"""Helpers that run a small fleet and log the use of tokens."""

from datetime import timedelta

from experiments.limits.fleet import Fleet
from experiments.limits.usage import UseLog
from oriolepaddle.config import Entry
from oriolepaddle.config.model import DataCentre, ObjectKind, Organisation
from oriolepaddle.errors import RefusedError
from oriolepaddle.limits import LimitSettings

SETTINGS = LimitSettings(
    loan=timedelta(seconds=4),
    renew_interval=timedelta(seconds=1),
    steady_interval=timedelta(seconds=3),
    pool_interval=timedelta(seconds=1),
    settle_interval=timedelta(seconds=1),
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
    """Start a fleet of `{name: data centre}` and run it until its claims have grown."""
    centres = sorted(set(instances.values()))
    entries = [make_entry(ORGANISATION)]
    entries += [make_entry(DataCentre(centre, region=centre)) for centre in centres]
    fleet = Fleet(settings, tuple(entries))
    drifts = dict(zip(instances, drifts, strict=False))
    for name, centre in instances.items():
        fleet.start(name, centre, drifts.get(name, 0.0))
    fleet.run(20)
    return fleet


def make_log():
    return UseLog(ORGANISATION)


def try_reserve(fleet, log, name, tokens, organisation=ORGANISATION):
    """Reserve at one instance; return the index in the log, or None."""
    try:
        reservation = fleet.instances[name].limiter.reserve(organisation, tokens)
    except RefusedError:
        return None
    return log.add(fleet.now_s, reservation)


def drain(fleet, log, names, tokens=10.0, organisation=ORGANISATION):
    """Reserve tokens at some instances until they refuse."""
    for name in names:
        while try_reserve(fleet, log, name, tokens, organisation) is not None:
            pass


def claims(fleet):
    """Return each instance's claim."""
    return {
        name: round(instance.limiter.snapshot(ORGANISATION).claim, 3)
        for name, instance in fleet.instances.items()
    }
