"""What one instance spends at the size aimed for, from measured slopes."""
