"""What orders cost at their issuer: memory, time, and the retention that fits."""
