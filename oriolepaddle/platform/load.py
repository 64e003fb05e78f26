"""Decodes the load that an endpoint reports in the headers of its responses."""

import re

from oriolepaddle.logs import log_event
from oriolepaddle.platform import names
from oriolepaddle.signals import ReportedLoad

__all__ = ["LoadReader"]

MAX_LOGGED_CHARACTERS = 40
MIN_PACE, MAX_PACE = 1.0, 100_000.0
"""Range of a pace in percent of the usual time: a thousand times slower is a machine
that stands still rather than a pace."""
_LOAD = re.compile(
    r"[ \t]*([0-9]{1,6})[ \t]*,[ \t]*([0-9]{1,6})[ \t]*,[ \t]*([0-9]{1,6})"
    r"(?:[ \t]*,[ \t]*([0-9]{1,6}(?:\.[0-9]{1,20})?))?[ \t]*"
)


class LoadReader:
    """Reads `running,waiting,slots` or `running,waiting,slots,pace`.

    An invalid value is ignored as a whole. Such values may come with each response, so
    they are logged at the first one, the second, the fourth and so on.
    """

    def __init__(self) -> None:
        self._ignored = 0

    def read(self, headers: tuple[tuple[str, str], ...]) -> ReportedLoad | None:
        """Return the load in a response's headers, or None."""
        name = names.LOAD.lower()
        values = [value for field, value in headers if field.lower() == name]
        if not values:
            return None
        match = _LOAD.fullmatch(values[0]) if len(values) == 1 else None
        if match is not None:
            running, waiting, slots, pace = match.groups()
            load = ReportedLoad(
                int(running),
                int(waiting),
                int(slots),
                None if pace is None else float(pace),
            )
            if load.pace is None or MIN_PACE <= load.pace <= MAX_PACE:
                return load
        self._report_ignored(values)
        return None

    def _report_ignored(self, values: list[str]) -> None:
        self._ignored += 1
        if self._ignored & (self._ignored - 1) == 0:
            log_event(
                "endpoint_load_ignored",
                field=names.LOAD,
                values=[value[:MAX_LOGGED_CHARACTERS] for value in values[:2]],
                ignored=self._ignored,
            )
