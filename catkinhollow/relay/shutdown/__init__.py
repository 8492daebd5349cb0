"""Decide when a daemon that is stopped gives up which work."""
