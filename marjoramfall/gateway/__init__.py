"""Serve callers: routing, team limits, placement and forwarding."""
