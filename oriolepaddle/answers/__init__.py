"""Answers of endpoints, of other instances and of the platform, checked strictly."""

from oriolepaddle.answers.chunks import ChunkedBody
from oriolepaddle.answers.head import HeadParser

__all__ = ["ChunkedBody", "HeadParser"]
