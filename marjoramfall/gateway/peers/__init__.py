"""Exchange state with the other entries, in groups where there are many."""
