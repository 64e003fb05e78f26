"""A descriptor that is held for the time when there are no others."""

import os
import threading

__all__ = ["SpareDescriptor"]


class SpareDescriptor:
    """Holds one descriptor, so that a connection can be accepted and refused."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._descriptor: int | None = os.eventfd(0)

    def give(self) -> bool:
        """Close the descriptor; return whether there was one."""
        with self._lock:
            descriptor, self._descriptor = self._descriptor, None
        if descriptor is None:
            return False
        os.close(descriptor)
        return True

    def take(self) -> bool:
        """Open a descriptor again; return whether one is held."""
        with self._lock:
            if self._descriptor is None:
                try:
                    self._descriptor = os.eventfd(0)
                except OSError:
                    # Another thread was faster; the next call may succeed.
                    return False
            return True
