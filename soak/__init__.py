"""A randomized soak: real daemons as processes, faults from outside them."""
