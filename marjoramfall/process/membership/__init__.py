"""Detect joined, failed and leaving entries by probes and gossip."""
