"""Small stand-ins for the platform's store and its runners, for tests."""

from oriolepaddle.platform.standins.runner import (
    CrashStage,
    RunnerBehaviour,
    RunnerStandin,
)
from oriolepaddle.platform.standins.store import StoreMode, StoreStandin

__all__ = [
    "CrashStage",
    "RunnerBehaviour",
    "RunnerStandin",
    "StoreMode",
    "StoreStandin",
]
