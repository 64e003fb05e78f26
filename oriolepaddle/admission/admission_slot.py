"""The slot of an admitted request."""

from collections.abc import Callable

__all__ = ["AdmissionSlot"]


class AdmissionSlot:
    """A slot for one running request; a context manager that releases it.

    Args:
        release: Called once, at the first release.
    """

    def __init__(self, release: Callable[[], None]) -> None:
        self._release: Callable[[], None] | None = release

    def release(self) -> None:
        """Release the slot; later calls do nothing."""
        release, self._release = self._release, None
        if release is not None:
            release()

    def __enter__(self) -> "AdmissionSlot":
        return self

    def __exit__(self, *error: object) -> None:
        self.release()
