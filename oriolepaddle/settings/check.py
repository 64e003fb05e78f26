"""Validation of settings, which reports all problems at once."""

import ipaddress
import os
from typing import Any

import attrs

from oriolepaddle.errors import SettingsError
from oriolepaddle.settings.edge import EdgeSettings, parse_regions
from oriolepaddle.settings.field import Rule, find_rule
from oriolepaddle.settings.seeds import parse_seeds
from oriolepaddle.settings.settings import Settings

__all__ = ["check_settings", "find_problems"]


def check_settings(settings: Settings | EdgeSettings) -> None:
    """Check every setting.

    Raises:
        SettingsError: One or more settings are missing or out of range; the
            message lists all of them.
    """
    problems = find_problems(settings)
    if problems:
        raise SettingsError("\n".join(problems))


def find_problems(settings: Settings | EdgeSettings) -> list[str]:
    """Return a line for each setting that is missing or out of range."""
    problems = _find_field_problems(settings)
    if isinstance(settings, EdgeSettings):
        return problems + _find_region_problems(settings)
    problems += _find_seed_problems(settings)
    problems += _find_tls_problems(settings)
    return problems


def _find_field_problems(settings: Settings | EdgeSettings) -> list[str]:
    problems = []
    for field in attrs.fields(type(settings)):
        problem = _find_value_problem(find_rule(field), getattr(settings, field.name))
        if problem is not None:
            flag = field.name.replace("_", "-")
            problems.append(f"--{flag} {problem}")
    return problems


def _find_region_problems(settings: EdgeSettings) -> list[str]:
    try:
        regions = parse_regions(settings.regions)
    except SettingsError as error:
        return [error.message]
    if settings.data_centre in regions:
        return []
    return [f"--regions does not name the data centre {settings.data_centre!r}"]


def _find_seed_problems(settings: Settings) -> list[str]:
    try:
        parse_seeds(settings.seeds)
    except SettingsError as error:
        return [error.message]
    return []


def _find_tls_problems(settings: Settings) -> list[str]:
    problems = []
    for side in ("caller", "operator"):
        certificate = getattr(settings, f"{side}_tls_certificate")
        key = getattr(settings, f"{side}_tls_key")
        if bool(certificate) != bool(key):
            problems.append(
                f"--{side}-tls-certificate and its key must be given together"
            )
        problems += [
            f"{path}: no such file"
            for path in (certificate, key)
            if path and not os.path.isfile(path)
        ]
    return problems


def _find_value_problem(rule: Rule, value: Any) -> str | None:
    if isinstance(value, str):
        return _find_text_problem(rule, value)
    if rule.low is not None and value < rule.low:
        return f"must be at least {rule.low}, not {value}"
    if rule.high is not None and not value <= rule.high:
        return f"must be at most {rule.high}, not {value}"
    return None


def _find_text_problem(rule: Rule, value: str) -> str | None:
    if not value:
        return None if rule.is_optional else "is missing"
    if len(value) < rule.min_length:
        return f"must have at least {rule.min_length} characters"
    if rule.choices and value not in rule.choices:
        return f"must be one of {', '.join(rule.choices)}, not {value!r}"
    if rule.is_address and not _is_address(value):
        return f"must be IP:port, not {value!r}"
    return None


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 <= int(port) <= 65535
    except ValueError:
        return False
