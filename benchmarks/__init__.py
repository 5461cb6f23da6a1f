"""Measure decisions and daemons of marjoramfall."""
