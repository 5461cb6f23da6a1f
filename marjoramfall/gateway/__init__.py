"""Serve callers: routes, limits, placement and forwarding."""
