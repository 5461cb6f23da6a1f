"""Schedule requests between callers and backend servers of unequal speed."""
