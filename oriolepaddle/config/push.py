"""Sending entries to one peer."""

from collections.abc import Iterable
from datetime import timedelta

from oriolepaddle.config.entry import Entry
from oriolepaddle.config.wire import (
    CONFIGURATION_SERVICE,
    split_entries,
    write_entry,
)
from oriolepaddle.peers import PeerCaller
from oriolepaddle.peers.gen_py.configuration.ttypes import PushRequest

__all__ = ["push_entries"]

PUSH_TIMEOUT = timedelta(seconds=2)


def push_entries(
    caller: PeerCaller, own_id: str, peer: str, transfer: int, entries: Iterable[Entry]
) -> bool:
    """Send entries in parts, which the peer merges once it has the last one.

    Args:
        caller: Calls the peer.
        own_id: This instance's id.
        peer: The peer's id.
        transfer: The transfer's number, different from that of the previous one.
        entries: The entries.

    Returns:
        Whether the peer accepted every part.

    Raises:
        PeerError: A call failed.
    """
    parts = list(split_entries(entries))
    for number, part in enumerate(parts):
        request = PushRequest(
            sender=own_id,
            transfer=transfer,
            part=number,
            is_last=number == len(parts) - 1,
            entries=[write_entry(entry) for entry in part],
        )
        reply = caller.call(peer, CONFIGURATION_SERVICE, "push", request, PUSH_TIMEOUT)
        if not reply.is_accepted:
            return False
    return True
