"""Spread membership and configuration between daemons."""
