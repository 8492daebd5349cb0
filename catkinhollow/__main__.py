"""Run the command line interface."""

import signal
import sys

DAEMON_COMMAND = "daemon"


def main() -> int:
    """Run one command and return its exit code."""
    if sys.argv[1:2] == [DAEMON_COMMAND]:
        # The setting outlives the start of the daemon in this process, which
        # would end on a request to reload its settings otherwise.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from catkinhollow.commands.application import run

    return run(sys.argv)


if __name__ == "__main__":
    sys.exit(main())
