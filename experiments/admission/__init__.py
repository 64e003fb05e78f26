"""Admission under overload: fairness, tail latency and what each costs."""
