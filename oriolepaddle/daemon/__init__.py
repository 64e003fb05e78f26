"""The daemon: one entry instance as a process.

Each program imports its own instance; nothing is imported here, so that a
process starts without the other's parts.
"""

__all__: list[str] = []
