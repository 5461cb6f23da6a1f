"""Translate between the users' platform and the gateway."""
