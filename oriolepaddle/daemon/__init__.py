"""The daemon: one gateway instance as a process.

Nothing is imported here: each command imports the instance class that it runs, so
that a process does not load the modules of the other.
"""

__all__: list[str] = []
