"""Start the daemon process with settings that the daemon command validated."""

import sys

from catkinhollow.startup.held_signals import HeldSignals


def main() -> int:
    """Load the daemon, run it and return its exit code."""
    held_signals = HeldSignals()
    held_signals.install()
    # The imports take most of the time of a start.
    from catkinhollow.daemon.process import run_process

    return run_process(held_signals)


if __name__ == "__main__":
    sys.exit(main())
