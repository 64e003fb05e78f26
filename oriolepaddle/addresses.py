"""Parsing of `IP:port` addresses."""

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of `IP:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
