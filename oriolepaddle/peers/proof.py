"""Proof that both ends of a link have the peer secret."""

import hashlib
import hmac
import secrets

from oriolepaddle.peers.identity import PeerIdentity

__all__ = ["NONCE_BYTES", "PROTOCOL_VERSION", "check_proof", "make_nonce", "make_proof"]

NONCE_BYTES = 16
PROTOCOL_VERSION = 1


def make_nonce() -> bytes:
    """Return a fresh random nonce."""
    return secrets.token_bytes(NONCE_BYTES)


def make_proof(
    secret: bytes,
    role: str,
    own_nonce: bytes,
    peer_nonce: bytes,
    identity: PeerIdentity,
) -> bytes:
    """Return the HMAC-SHA256 by which one end proves that it has the secret.

    Args:
        secret: The peer secret.
        role: `client` or `server`, so that a proof cannot be reflected.
        own_nonce: The nonce of the proving end.
        peer_nonce: The nonce that the other end sent.
        identity: The identity that the proving end claims.
    """
    name = f"{role}|{identity.instance}|{identity.incarnation}|{identity.data_centre}"
    return hmac.digest(secret, own_nonce + peer_nonce + name.encode(), hashlib.sha256)


def check_proof(expected: bytes, received: bytes) -> bool:
    """Compare two proofs in constant time."""
    return hmac.compare_digest(expected, received)
