"""Projected load of one instance at the target scale, from measured costs."""
