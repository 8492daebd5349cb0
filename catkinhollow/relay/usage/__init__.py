"""Count the runs of organisations and report them, one daemon at a time."""
