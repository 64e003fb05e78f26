"""Interface for reading the state of engines and sending them commands."""

from collections.abc import Callable
from typing import Protocol

from oriolepaddle.commands.command import EngineCommand
from oriolepaddle.commands.state import EngineState
from oriolepaddle.config.model import Endpoint

__all__ = ["EngineControl"]


class EngineControl(Protocol):
    """Reads the state of this data centre's engines and sends them commands."""

    def state(self, endpoint: Endpoint) -> EngineState:
        """Return the state that an engine reports.

        Raises:
            EndpointError: The engine did not answer.
        """
        ...

    def apply(
        self,
        endpoint: Endpoint,
        command: EngineCommand,
        recheck: Callable[[], None],
    ) -> None:
        """Send a command once and return when the engine has accepted it.

        Args:
            endpoint: The engine's endpoint.
            command: The command.
            recheck: Called after the connection is established, just before
                the first byte is sent; raises if the command must not be sent.

        Raises:
            EndpointRefusedError: The engine refused the fencing number.
            CommandWithheldError: Raised by `recheck`.
            EndpointError: The engine may or may not have accepted the command.
        """
        ...
