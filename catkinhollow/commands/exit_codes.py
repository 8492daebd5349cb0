"""Define the exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Indicate to scripts how a command ended."""

    OK = 0
    INVALID = 1
    CONFLICT = 2
    UNREACHABLE = 3
    NOT_MOVED = 4
    DOUBTFUL = 5
    USAGE = 64
