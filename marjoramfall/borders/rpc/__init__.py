"""Generated code of the operator interface and its server."""
