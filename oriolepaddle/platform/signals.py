"""Decodes what an endpoint says of itself in the headers of its answers."""

import re
from datetime import timedelta
from http import HTTPStatus

from oriolepaddle.logs import log_event
from oriolepaddle.platform import names
from oriolepaddle.signals import EndpointSignals

__all__ = ["read_signals"]

FLAG = "1"
MAX_LOGGED_CHARACTERS = 40
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,60})?")
_NO_SIGNALS = EndpointSignals()


def read_signals(status: int, headers: tuple[tuple[str, str], ...]) -> EndpointSignals:
    """Return the signals of an answer; what can't be read is ignored and logged."""
    values: dict[str, list[str]] = {}
    for name, value in headers:
        if name.lower() in names.SIGNALS:
            values.setdefault(name.lower(), []).append(value)
    if not values:
        return _NO_SIGNALS
    delay_s = None
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        delay_s = _read_decimal(names.RETRY_AFTER, values)
    return EndpointSignals(
        limit_per_s=_read_decimal(names.LIMIT, values),
        is_leaving=_read_flag(names.LEAVING, values),
        retry_after=None if delay_s is None else timedelta(seconds=delay_s),
    )


def _read_flag(name: str, values: dict[str, list[str]]) -> bool:
    found = [value.strip(" \t") for value in values.get(name.lower(), [])]
    if not found:
        return False
    # Repeating the field does not make it ambiguous.
    if set(found) == {FLAG}:
        return True
    _report_ignored(name, found)
    return False


def _read_decimal(name: str, values: dict[str, list[str]]) -> float | None:
    found = values.get(name.lower(), [])
    if not found:
        return None
    text = found[0].strip(" \t")
    if len(found) == 1 and _DECIMAL.fullmatch(text):
        return float(text)
    _report_ignored(name, found)
    return None


def _report_ignored(name: str, found: list[str]) -> None:
    log_event(
        "endpoint_signal_ignored",
        field=name,
        values=[value[:MAX_LOGGED_CHARACTERS] for value in found[:2]],
    )
