"""Move traffic between versions of a service."""
