"""Admission under overload: fairness, tail latency and the trade-off between them."""
