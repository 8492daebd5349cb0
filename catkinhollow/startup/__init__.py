"""Start the process of a daemon with little processor time."""
