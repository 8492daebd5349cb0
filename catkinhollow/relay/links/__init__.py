"""Connect the daemons with each other."""
