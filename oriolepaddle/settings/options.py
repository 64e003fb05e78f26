"""Settings as options and environment variables of a typer command."""

import inspect
from collections.abc import Callable
from typing import Annotated, Any

import attrs
import typer

from oriolepaddle.settings.field import find_rule
from oriolepaddle.settings.settings import Settings

__all__ = ["ENVIRONMENT_PREFIX", "add_options"]

ENVIRONMENT_PREFIX = "ORIOLEPADDLE_"


def add_options(
    function: Callable[[Any], None], settings_class: type = Settings
) -> Callable[..., None]:
    """Return a command with an option for each setting that calls `function`.

    Args:
        function: Called with the settings.
        settings_class: An attrs class with fields created by `setting`.
    """

    def _command(**values: object) -> None:
        function(settings_class(**values))

    parameters = [_make_parameter(field) for field in attrs.fields(settings_class)]
    _command.__signature__ = inspect.Signature(parameters)
    _command.__annotations__ = {item.name: item.annotation for item in parameters}
    _command.__doc__ = function.__doc__
    _command.__name__ = function.__name__
    return _command


def _make_parameter(field: attrs.Attribute) -> inspect.Parameter:
    option = typer.Option(
        "--" + field.name.replace("_", "-"),
        envvar=ENVIRONMENT_PREFIX + field.name.upper(),
        help=find_rule(field).help,
    )
    return inspect.Parameter(
        field.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=field.default,
        annotation=Annotated[field.type, option],
    )
