"""Decide what happens to one request, from its arrival to its answer."""
