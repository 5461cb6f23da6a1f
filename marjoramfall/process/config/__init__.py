"""Keep the configuration log and spread its changes."""
