"""Comparison of the router with common baselines, with and without faults."""
