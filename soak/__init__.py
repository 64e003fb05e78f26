"""A randomized soak test of daemon processes under external faults."""
