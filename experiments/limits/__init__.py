"""How well organisations are held to their rates, against fixed splits."""
