"""Whether the process of an endpoint has ended."""

import socket
from datetime import timedelta
from typing import Protocol

from oriolepaddle.addresses import split_address
from oriolepaddle.catalog import RegisteredEndpoint

__all__ = ["ConnectCheck", "LivenessCheck"]

CONNECT_TIMEOUT = timedelta(milliseconds=250)
"""A few round trips between regions are shorter; a cut link takes longer."""


class LivenessCheck(Protocol):
    """Tells an endpoint that ended from one whose connections were reset."""

    def has_ended(self, endpoint: RegisteredEndpoint) -> bool:
        """Return whether an endpoint's process is known to have ended."""
        ...


class ConnectCheck:
    """Opens a connection: only a machine without the process refuses it.

    An endpoint that can't be reached is not known to have ended.
    """

    def has_ended(self, endpoint: RegisteredEndpoint) -> bool:
        """Return whether the endpoint's address refuses connections."""
        try:
            socket.create_connection(
                split_address(endpoint.address), CONNECT_TIMEOUT.total_seconds()
            ).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        return False
