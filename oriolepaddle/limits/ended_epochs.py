"""Lives of members that are over."""

from collections.abc import Container

from oriolepaddle.limits.claim_epoch import UNKNOWN_LIFE, Life
from oriolepaddle.peers.gen_py.limits.ttypes import MemberState

__all__ = ["EndedLives"]


class EndedLives:
    """The last life of each member that left or vanished."""

    def __init__(self) -> None:
        self._lives: dict[str, tuple[Life, float]] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._lives

    def last(self, name: str) -> Life:
        """Return the last life that is over, or the unknown one."""
        return self._lives.get(name, (UNKNOWN_LIFE, 0.0))[0]

    def add(self, name: str, life: Life, now_s: float) -> None:
        """Note that a life is over."""
        if name not in self._lives or life > self.last(name):
            self._lives[name] = (life, now_s)

    def forget(self, before_s: float, kept: Container[str]) -> None:
        """Drop what ended before `before_s`, but for the names in `kept`."""
        self._lives = {
            name: (life, ended_s)
            for name, (life, ended_s) in self._lives.items()
            if name in kept or ended_s >= before_s
        }

    def write(self) -> list[MemberState]:
        """Return the lives as messages."""
        return [
            MemberState(instance=name, life=life.write(), reserved=0.0)
            for name, (life, _) in self._lives.items()
        ]
