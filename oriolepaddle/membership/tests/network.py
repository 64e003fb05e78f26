"""An in-memory network between instances, with faults per direction."""

from thrift.protocol.TCompactProtocol import TCompactProtocolFactory
from thrift.TSerialization import deserialize, serialize

from oriolepaddle.errors import PeerTimeoutError, PeerUnavailableError

_FACTORY = TCompactProtocolFactory()


def copy_message(message):
    """Encode and decode a message, as a connection does."""
    return deserialize(type(message)(), serialize(message, _FACTORY), _FACTORY)


class Network:
    """Delivers calls to handlers; `cut` contains (caller, callee) pairs.

    `lose` is a function of (caller, callee, method): None delivers, "request"
    loses the call, "reply" loses its reply, "double" delivers it twice.
    """

    def __init__(self):
        self.handlers = {}
        self.cut = set()
        self.down = set()
        self.lose = lambda caller, callee, method: None
        self.calls = []

    def attach(self, instance, service, handler):
        self.handlers[instance, service] = handler

    def caller(self, instance):
        return NetworkCaller(self, instance)

    def split(self, one, other):
        self.cut |= {(a, b) for a in one for b in other}
        self.cut |= {(b, a) for a in one for b in other}


class NetworkCaller:
    def __init__(self, network, own):
        self.network = network
        self.own = own

    def call(self, instance, service, method, request, timeout):
        network = self.network
        network.calls.append((self.own, instance, method))
        gone = {self.own, instance} & network.down
        if gone or (self.own, instance) in network.cut:
            raise PeerUnavailableError(f"{instance} is cut off")
        handler = network.handlers.get((instance, service.name))
        if handler is None:
            raise PeerUnavailableError(f"{instance} does not listen")
        fault = network.lose(self.own, instance, method)
        if fault == "request":
            raise PeerTimeoutError("request lost")
        for _ in range(2 if fault == "double" else 1):
            reply = getattr(handler, method)(copy_message(request))
        if fault == "reply":
            raise PeerTimeoutError("reply lost")
        return copy_message(reply)
