"""Seeded experiments over the decision classes, on a simulated clock."""
