"""Connect the gateway to the users' platform: its store, settings and headers."""
