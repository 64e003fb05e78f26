"""The right to run one request."""

from collections.abc import Callable

__all__ = ["AdmissionSlot"]


class AdmissionSlot:
    """A place among the running requests, held until it is released.

    Args:
        release: Called once.
    """

    def __init__(self, release: Callable[[], None]) -> None:
        self._release: Callable[[], None] | None = release

    def release(self) -> None:
        """Give the place back; later calls do nothing."""
        release, self._release = self._release, None
        if release is not None:
            release()

    def __enter__(self) -> "AdmissionSlot":
        return self

    def __exit__(self, *error: object) -> None:
        self.release()
