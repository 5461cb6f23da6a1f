"""Talk to callers, operators and the platform."""
