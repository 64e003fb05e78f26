"""The adapter to the users' platform; its names are used in this package only."""

from oriolepaddle.platform.directory import DirectoryApplication, ReadinessApplication
from oriolepaddle.platform.document import decode_document
from oriolepaddle.platform.protocol import PlatformProtocol
from oriolepaddle.platform.store import PlatformStore

__all__ = [
    "DirectoryApplication",
    "PlatformProtocol",
    "PlatformStore",
    "ReadinessApplication",
    "decode_document",
]
