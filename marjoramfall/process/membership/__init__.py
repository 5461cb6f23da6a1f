"""Decide which entries are members."""
