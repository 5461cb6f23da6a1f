"""Let a peer serve requests whose servers this entry cannot reach."""
