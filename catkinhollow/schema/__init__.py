"""Provide the JSON Schema files that the data classes are generated from."""
