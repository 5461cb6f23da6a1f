"""Exchange grant requests and grants between entries and group dispatchers."""
