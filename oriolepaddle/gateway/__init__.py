"""The callers' interface: parses, routes and serves requests."""

from oriolepaddle.gateway.application import CallerApplication
from oriolepaddle.gateway.authenticator import Authenticator
from oriolepaddle.gateway.exchanger import Exchanger

__all__ = ["Authenticator", "CallerApplication", "Exchanger"]
