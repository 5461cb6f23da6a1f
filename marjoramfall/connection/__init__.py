"""Track and use the connections to backend servers."""
