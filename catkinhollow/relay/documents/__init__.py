"""Distribute the stored documents to all daemons."""
