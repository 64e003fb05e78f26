"""Claim epochs of members that have ended."""

from collections.abc import Container

from oriolepaddle.limits.claim_epoch import UNKNOWN_EPOCH, ClaimEpoch
from oriolepaddle.peers.gen_py.limits.ttypes import MemberState

__all__ = ["EndedEpochs"]


class EndedEpochs:
    """The last ended epoch of each member that left or timed out."""

    def __init__(self) -> None:
        self._epochs: dict[str, tuple[ClaimEpoch, float]] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._epochs

    def latest(self, name: str) -> ClaimEpoch:
        """Return the last ended epoch of a member, or `UNKNOWN_EPOCH`."""
        return self._epochs.get(name, (UNKNOWN_EPOCH, 0.0))[0]

    def add(self, name: str, epoch: ClaimEpoch, now_s: float) -> None:
        """Record that an epoch has ended."""
        if name not in self._epochs or epoch > self.latest(name):
            self._epochs[name] = (epoch, now_s)

    def expire(self, before_s: float, retained: Container[str]) -> None:
        """Drop epochs that ended before `before_s`, except those of `retained`."""
        self._epochs = {
            name: (epoch, ended_s)
            for name, (epoch, ended_s) in self._epochs.items()
            if name in retained or ended_s >= before_s
        }

    def to_messages(self) -> list[MemberState]:
        """Return the epochs as messages."""
        return [
            MemberState(instance=name, life=epoch.to_message(), reserved=0.0)
            for name, (epoch, _) in self._epochs.items()
        ]
