"""The pages of settings, generated from their classes."""

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
environment variable; a flag goes before the variable. `oriolepaddled check`
names every setting that is missing or out of range at once and exits with 2.
A setting whose range is "required" has no default. Give the two secrets by
environment variable, since flags can be read in the list of processes.

A setting that is `true` or `false` is given as the flag alone, or as a variable
with either word. A TLS certificate and its key go together.
"""
_EDGE_INTRODUCTION = """\
# Settings of serve-edge

`python -m oriolepaddle.settings.page edge` writes this page from
`oriolepaddle/settings/edge.py`; a test compares the two.

Each setting is a flag of `oriolepaddled serve-edge` and `oriolepaddled check-edge`,
or an environment variable; a flag goes before the variable.
"""
_HEADINGS = ("Flag", "Environment variable", "Default", "Range", "Meaning")


def write_settings_page(settings_class: type = Settings) -> str:
    """Return the page of a class of settings in Markdown."""
    is_edge = settings_class is EdgeSettings
    lines = [
        _EDGE_INTRODUCTION if is_edge else _INTRODUCTION,
        _write_row(_HEADINGS),
        _write_row(("---",) * len(_HEADINGS)),
    ]
    lines += [_write_setting(field) for field in attrs.fields(settings_class)]
    return "\n".join(lines) + "\n"


def _write_setting(field: attrs.Attribute) -> str:
    rule = find_rule(field)
    return _write_row(
        (
            f"`--{field.name.replace('_', '-')}`",
            f"`{ENVIRONMENT_PREFIX}{field.name.upper()}`",
            _write_default(field.default),
            _write_range(rule, field.default),
            rule.help,
        )
    )


def _write_default(value: Any) -> str:
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    return f"`{value}`" if value != "" else "none"


def _write_range(rule: Rule, default: Any) -> str:
    if isinstance(default, bool):
        return "`true` or `false`"
    if not isinstance(default, str):
        return f"{rule.low} to {rule.high}"
    return _write_text_range(rule, default)


def _write_text_range(rule: Rule, default: str) -> str:
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


def _write_row(cells: tuple[str, ...]) -> str:
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    chosen = EdgeSettings if sys.argv[1:] == ["edge"] else Settings
    sys.stdout.write(write_settings_page(chosen))
