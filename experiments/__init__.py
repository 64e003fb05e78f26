"""Seeded experiments and benchmarks."""
