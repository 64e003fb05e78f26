"""Commands that bring engines to the state that placements publish."""

from oriolepaddle.commands.command import EngineCommand
from oriolepaddle.commands.control import EngineControl
from oriolepaddle.commands.freshness import Freshness
from oriolepaddle.commands.issuer import CommandIssuer
from oriolepaddle.commands.limits import CommandLimits
from oriolepaddle.commands.outcome import CommandOutcome, CommandResult
from oriolepaddle.commands.state import EngineState

__all__ = [
    "CommandIssuer",
    "CommandLimits",
    "CommandOutcome",
    "CommandResult",
    "EngineCommand",
    "EngineControl",
    "EngineState",
    "Freshness",
]
