"""Accuracy and cost of shared rate limits, compared with fixed splits."""
