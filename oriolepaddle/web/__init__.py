"""An HTTP/1.1 server with limits on time, size and number of connections."""

from oriolepaddle.web.application import Application
from oriolepaddle.web.limits import ServerLimits
from oriolepaddle.web.server import HttpServer
from oriolepaddle.web.writer import AnswerWriter

__all__ = ["AnswerWriter", "Application", "HttpServer", "ServerLimits"]
