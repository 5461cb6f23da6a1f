"""Stand-ins of the platform, of engines and of clients for the cases of the review."""
