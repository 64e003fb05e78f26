"""What an engine reports of itself."""

import attrs

from oriolepaddle.commands.command import EngineCommand

__all__ = ["EngineState"]


@attrs.frozen
class EngineState:
    """An engine's reported state; an empty engine reports an empty model.

    Attributes:
        model: The model that is loaded, or is being loaded.
        version: Its version.
        adapters: The adapters beside it.
        role: The engine's role.
        ticket: The highest fencing number that it has taken; 0 after a start,
            None if it does not report any.
        is_loading: Whether it is still loading.
    """

    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
    ticket: int | None = 0
    is_loading: bool = False

    def matches(self, command: EngineCommand) -> bool:
        """Return whether the engine has taken on a command."""
        return (
            not self.needs_load(command)
            and set(self.adapters) == set(command.adapters)
            and self.role == command.role
            and self.ticket in (None, command.ticket)
        )

    def needs_load(self, command: EngineCommand) -> bool:
        """Return whether the command makes the engine read the weight store."""
        return (self.model, self.version) != (command.model, command.version) or bool(
            set(command.adapters) - set(self.adapters)
        )

    def is_ahead_of(self, command: EngineCommand) -> bool:
        """Return whether the engine has taken a newer ticket than a command's."""
        return self.ticket is not None and self.ticket > command.ticket
