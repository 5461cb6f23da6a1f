"""Hold what lives as long as an entry process."""
