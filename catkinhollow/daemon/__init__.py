"""Run the parts of the daemon that do not carry traffic."""
