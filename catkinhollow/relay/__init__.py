"""Relay calls through two daemons: the entry's and the target's gate."""
