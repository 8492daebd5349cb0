"""Provide stand-ins, and run daemons and stand-ins as processes."""
