"""The router against the usual baselines, calm and under faults."""
