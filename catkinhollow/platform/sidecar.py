"""Start the relay daemon beside the target of its instance."""

import gc
import sys


def main() -> int:
    """Load the daemon, run it and return its exit code."""
    from catkinhollow.startup.held_signals import HeldSignals

    held_signals = HeldSignals()
    held_signals.install()
    # The imports create objects that live as long as the process.
    # Collections while they run would take a tenth of the time of a start,
    # and later full collections that visit their objects would stop all calls
    # for tens of milliseconds.
    gc.disable()
    # Before all libraries, so that none of them is imported as a whole.
    from catkinhollow.startup.partial_imports import install_partial_imports

    install_partial_imports()
    from catkinhollow.startup.deferred_methods import install_deferred_methods

    install_deferred_methods()
    from catkinhollow.platform.process import run_process

    gc.freeze()
    gc.enable()
    return run_process(held_signals)


if __name__ == "__main__":
    sys.exit(main())
