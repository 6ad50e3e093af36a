"""Decision logic without input or output, clocks, tasks or global randomness."""
