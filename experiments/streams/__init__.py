"""Cost of the checks on the stream of an answer."""
