"""Decide what runs at the target of this instance."""
