"""Run the platform's entries against small stand-ins on loopback addresses."""
