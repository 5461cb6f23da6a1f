"""Hold the generated code of the schema."""
