"""Adapt the daemon to the users' platform: its names, formats and calls."""
