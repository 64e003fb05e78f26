"""Answers of endpoints, of other instances and of the platform, checked strictly."""

from oriolepaddle.answers.chunks import ChunkedBody

__all__ = ["ChunkedBody"]
