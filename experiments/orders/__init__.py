"""Cost of orders at their issuer: memory, time and the resulting retention."""
