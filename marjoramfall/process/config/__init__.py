"""Keep the configuration log and replicate it to all entries."""
