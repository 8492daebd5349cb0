"""Speak to the users' platform: its names, formats and calls."""
