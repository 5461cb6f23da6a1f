"""Randomized soak of real entry processes under injected faults."""
