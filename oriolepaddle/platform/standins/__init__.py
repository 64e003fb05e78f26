"""Small stand-ins for the platform's store and its runners, for tests."""

from oriolepaddle.platform.standins.runner import (
    CrashManner,
    CrashStage,
    RunnerBehaviour,
    RunnerStandin,
)
from oriolepaddle.platform.standins.store import StoreMode, StoreStandin

__all__ = [
    "CrashManner",
    "CrashStage",
    "RunnerBehaviour",
    "RunnerStandin",
    "StoreMode",
    "StoreStandin",
]
