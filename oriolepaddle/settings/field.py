"""Settings fields with their help, unit and range."""

from typing import Any

import attrs

__all__ = ["Rule", "find_rule", "setting"]

_RULE = "oriolepaddle_rule"


@attrs.frozen
class Rule:
    """What a setting must be.

    Attributes:
        help: What it sets, with its unit.
        low: The least value, or None.
        high: The greatest value, or None.
        choices: The allowed values, empty for any.
        min_length: The fewest characters of a text.
        is_address: Whether it must be `IP:port`.
        is_optional: Whether it may be empty.
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
    """Return the rule of a field that `setting` made."""
    return field.metadata[_RULE]
