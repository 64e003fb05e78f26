"""The daemon: one entry instance as a process."""

from oriolepaddle.daemon.instance import GatewayInstance

__all__ = ["GatewayInstance"]
