"""Settings fields with their help text, unit and range."""

from typing import Any

import attrs

__all__ = ["Rule", "find_rule", "setting"]

_RULE = "oriolepaddle_rule"


@attrs.frozen
class Rule:
    """Help text and allowed values of a setting.

    Attributes:
        help: Help text, with the unit.
        low: Minimum value, or None.
        high: Maximum value, or None.
        choices: Allowed values; empty if any value is allowed.
        min_length: Minimum length of a text in characters.
        is_address: Whether the value must be `IP:port`.
        is_optional: Whether the value may be empty.
    """

    help: str
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    min_length: int = 1
    is_address: bool = False
    is_optional: bool = False


def setting(default: Any, help_text: str, **rule: Any) -> Any:
    """Return an attrs field with a rule."""
    return attrs.field(default=default, metadata={_RULE: Rule(help_text, **rule)})


def find_rule(field: attrs.Attribute) -> Rule:
    """Return the rule of a field created by `setting`."""
    return field.metadata[_RULE]
