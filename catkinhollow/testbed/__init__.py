"""Hold the stand-ins and the programs that start processes."""
