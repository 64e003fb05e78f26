"""What the checks on an answer's stream cost."""
