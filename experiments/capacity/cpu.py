"""Processor time readers."""

import time
from typing import Protocol

__all__ = ["CpuTimeReader", "ProcessCpuTime", "ThreadCpuTime"]


class CpuTimeReader(Protocol):
    """Interface for reading the processor time used so far."""

    def read_s(self) -> float:
        """Return seconds of processor time."""
        ...


class ProcessCpuTime:
    """Reads the processor time of all threads of this process."""

    def read_s(self) -> float:
        """Return seconds of processor time."""
        return time.process_time()


class ThreadCpuTime:
    """Reads the processor time of the calling thread alone."""

    def read_s(self) -> float:
        """Return seconds of processor time."""
        return time.thread_time()
