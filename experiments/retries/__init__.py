"""Seeded simulation of retry policies and the quarantine under faults."""
