"""A bounded HTTP/1.1 server for callers, operators and stand-ins."""

from oriolepaddle.web.application import Application
from oriolepaddle.web.limits import ServerLimits
from oriolepaddle.web.server import HttpServer
from oriolepaddle.web.writer import AnswerWriter

__all__ = ["AnswerWriter", "Application", "HttpServer", "ServerLimits"]
