"""Judge versions of services and move traffic between them."""
