"""The server's side of the handshake that opens a link."""

from oriolepaddle.peers.gen_py.link.ttypes import (
    Accepted,
    Hello,
    HelloReply,
    LinkRejected,
    Proof,
)
from oriolepaddle.peers.identity import PeerIdentity
from oriolepaddle.peers.proof import (
    PROTOCOL_VERSION,
    check_proof,
    make_nonce,
    make_proof,
)

__all__ = ["Handshake"]


class Handshake:
    """Handles `Link` calls on one connection until the client is authenticated.

    Args:
        identity: This instance's identity.
        secret: The peer secret.
    """

    def __init__(self, identity: PeerIdentity, secret: bytes) -> None:
        self._identity = identity
        self._secret = secret
        self._nonce = make_nonce()
        self._hello: Hello | None = None
        self.is_proven = False

    def hello(self, request: Hello) -> HelloReply:
        """Answer a client's hello with this instance's own proof."""
        if request.version != PROTOCOL_VERSION:
            raise LinkRejected(reason=f"version {request.version} is not spoken")
        self._hello = request
        identity = self._identity
        proof = make_proof(self._secret, "server", self._nonce, request.nonce, identity)
        return HelloReply(
            version=PROTOCOL_VERSION,
            instance=identity.instance,
            incarnation=identity.incarnation,
            data_centre=identity.data_centre,
            proof=proof,
            nonce=self._nonce,
        )

    def prove(self, request: Proof) -> Accepted:
        """Verify the client's proof."""
        hello = self._hello
        if hello is None:
            raise LinkRejected(reason="hello must come first")
        claimed = PeerIdentity(hello.instance, hello.incarnation, hello.data_centre)
        expected = make_proof(self._secret, "client", hello.nonce, self._nonce, claimed)
        if not check_proof(expected, request.proof):
            raise LinkRejected(reason="wrong peer secret")
        self.is_proven = True
        return Accepted()
