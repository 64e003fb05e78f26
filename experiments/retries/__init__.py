"""Retry policies and the quarantine under faults, by seeded simulation."""
