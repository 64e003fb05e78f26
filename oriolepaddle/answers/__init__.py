"""Answers of endpoints, of other instances and of the platform, checked strictly."""

from oriolepaddle.answers.call import ShortAnswer, perform_call
from oriolepaddle.answers.chunks import ChunkedBody
from oriolepaddle.answers.head import HeadParser
from oriolepaddle.answers.parser import E_BROKEN_HEAD, AnswerParser

__all__ = [
    "AnswerParser",
    "ChunkedBody",
    "E_BROKEN_HEAD",
    "HeadParser",
    "ShortAnswer",
    "perform_call",
]
