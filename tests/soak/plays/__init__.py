"""Plays of real entry processes that count what callers and servers saw."""
