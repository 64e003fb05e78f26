"""What one instance adds to the time and cost of an answer."""
