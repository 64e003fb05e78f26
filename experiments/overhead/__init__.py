"""Benchmark of the latency and resource overhead of one instance."""
