"""Documentation pages of the settings, generated from their classes."""

import sys
from typing import Any

import attrs

from oriolepaddle.settings.edge import EdgeSettings
from oriolepaddle.settings.field import Rule, find_rule
from oriolepaddle.settings.options import ENVIRONMENT_PREFIX
from oriolepaddle.settings.settings import Settings

__all__ = ["write_settings_page"]

_INTRODUCTION = """\
# Settings

`python -m oriolepaddle.settings.page` writes this page from
`oriolepaddle/settings/settings.py`; a test compares the two.

Each setting is a flag of `oriolepaddled serve` and `oriolepaddled check`, or an
environment variable; a flag takes precedence over the variable.
`oriolepaddled check` reports all settings that are missing or out of range and
exits with 2. A setting whose range is "required" has no default. Set the two
secrets by environment variable, since flags are visible in the process list.

A boolean setting is given as the flag alone, or as a variable with the value
`true` or `false`. A TLS certificate and its key must be given together.
"""
_EDGE_INTRODUCTION = """\
# Settings of serve-edge

`python -m oriolepaddle.settings.page edge` writes this page from
`oriolepaddle/settings/edge.py`; a test compares the two.

Each setting is a flag of `oriolepaddled serve-edge` and `oriolepaddled check-edge`,
or an environment variable; a flag takes precedence over the variable.
"""
_HEADINGS = ("Flag", "Environment variable", "Default", "Range", "Meaning")


def write_settings_page(settings_class: type = Settings) -> str:
    """Return the page of a settings class in Markdown."""
    is_edge = settings_class is EdgeSettings
    lines = [
        _EDGE_INTRODUCTION if is_edge else _INTRODUCTION,
        _format_row(_HEADINGS),
        _format_row(("---",) * len(_HEADINGS)),
    ]
    lines += [_format_setting(field) for field in attrs.fields(settings_class)]
    return "\n".join(lines) + "\n"


def _format_setting(field: attrs.Attribute) -> str:
    rule = find_rule(field)
    return _format_row(
        (
            f"`--{field.name.replace('_', '-')}`",
            f"`{ENVIRONMENT_PREFIX}{field.name.upper()}`",
            _format_default(field.default),
            _format_range(rule, field.default),
            rule.help,
        )
    )


def _format_default(value: Any) -> str:
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    return f"`{value}`" if value != "" else "none"


def _format_range(rule: Rule, default: Any) -> str:
    if isinstance(default, bool):
        return "`true` or `false`"
    if not isinstance(default, str):
        return f"{rule.low} to {rule.high}"
    return _format_text_range(rule, default)


def _format_text_range(rule: Rule, default: str) -> str:
    parts = []
    if not default:
        parts.append("optional" if rule.is_optional else "required")
    if rule.choices:
        parts.append(", ".join(f"`{choice}`" for choice in rule.choices))
    if rule.is_address:
        parts.append("`IP:port`")
    if rule.min_length > 1:
        parts.append(f"at least {rule.min_length} characters")
    return ", ".join(parts)


def _format_row(cells: tuple[str, ...]) -> str:
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    selected_class = EdgeSettings if sys.argv[1:] == ["edge"] else Settings
    sys.stdout.write(write_settings_page(selected_class))
