"""Find the requests that crash backend servers and refuse them."""
