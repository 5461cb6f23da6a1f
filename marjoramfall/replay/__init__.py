"""Replay recorded traces and report their outcomes."""
