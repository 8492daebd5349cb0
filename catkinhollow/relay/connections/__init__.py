"""Decide how the connections of callers are read, answered and ended."""
