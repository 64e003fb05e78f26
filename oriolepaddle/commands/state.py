"""State that an engine reports."""

import attrs

from oriolepaddle.commands.command import EngineCommand

__all__ = ["EngineState"]


@attrs.frozen
class EngineState:
    """Reported state of an engine; the model is empty if none is loaded.

    Attributes:
        model: Model that is loaded or being loaded.
        version: Version of the model.
        adapters: Adapters loaded along with the model.
        role: Role of the engine.
        ticket: Highest fencing number that the engine accepted; 0 after a
            start, None if the engine does not report one.
        is_loading: Whether the engine is still loading.
    """

    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
    ticket: int | None = 0
    is_loading: bool = False

    def matches(self, command: EngineCommand) -> bool:
        """Return whether the engine is in the state that a command sets."""
        return (
            not self.needs_load(command)
            and set(self.adapters) == set(command.adapters)
            and self.role == command.role
            and self.ticket in (None, command.ticket)
        )

    def needs_load(self, command: EngineCommand) -> bool:
        """Return whether a command makes the engine load from the weight store."""
        return (self.model, self.version) != (command.model, command.version) or bool(
            set(command.adapters) - set(self.adapters)
        )

    def is_ahead_of(self, command: EngineCommand) -> bool:
        """Return whether the engine accepted a newer ticket than the command's."""
        return self.ticket is not None and self.ticket > command.ticket
