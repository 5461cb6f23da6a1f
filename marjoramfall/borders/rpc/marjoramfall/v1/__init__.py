"""Hold the generated code of version 1 of the schema."""
