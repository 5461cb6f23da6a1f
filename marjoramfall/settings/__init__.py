"""Load and check the settings of a process."""
