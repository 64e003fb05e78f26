"""Seeded experiments over the real decision classes."""
