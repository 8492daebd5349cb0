"""Decide about the requests of organisations: keys, freshness, fair order."""
