"""The interface through which engines are read and commanded."""

from collections.abc import Callable
from typing import Protocol

from oriolepaddle.commands.command import EngineCommand
from oriolepaddle.commands.state import EngineState
from oriolepaddle.config.model import Endpoint

__all__ = ["EngineControl"]


class EngineControl(Protocol):
    """Reads and commands the engines of this data centre."""

    def state(self, endpoint: Endpoint) -> EngineState:
        """Return what an engine reports.

        Raises:
            EndpointError: It did not answer.
        """
        ...

    def apply(
        self,
        endpoint: Endpoint,
        command: EngineCommand,
        recheck: Callable[[], None],
    ) -> None:
        """Send a command once; return when the engine has taken it.

        Args:
            endpoint: The engine's endpoint.
            command: The command.
            recheck: To be called after a connection was made and just before
                the first byte is sent; it raises if the command must not go.

        Raises:
            EndpointRefusedError: The engine refused the fencing number.
            CommandWithheldError: Raised by `recheck`.
            EndpointError: The command may or may not have been taken.
        """
        ...
