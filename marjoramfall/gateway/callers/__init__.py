"""Serve the connections of callers and hold their requests."""
