"""Seed peers from the settings."""

import re

from oriolepaddle.errors import SettingsError
from oriolepaddle.publication import Instance

__all__ = ["parse_seeds"]

_SEED = re.compile(r"([^@=\s]+)@([^@=\s]+)=(\S+:\d+)")


def parse_seeds(text: str) -> tuple[Instance, ...]:
    """Return the instances of a comma-separated list of `id@data_centre=IP:port`.

    Raises:
        SettingsError: An item has another format.
    """
    parts = [part.strip() for part in text.split(",") if part.strip()]
    return tuple(_parse_seed(part) for part in parts)


def _parse_seed(part: str) -> Instance:
    match = _SEED.fullmatch(part)
    if match is None:
        raise SettingsError(f"--seeds must be id@data_centre=IP:port, not {part!r}")
    name, data_centre, address = match.groups()
    return Instance(
        id=name, data_centre=data_centre, caller_address="", peer_address=address
    )
