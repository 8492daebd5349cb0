"""Run the command line interface."""

import sys


def main() -> int:
    """Run one command and return its exit code."""
    from catkinhollow.commands.application import run

    return run(sys.argv)


if __name__ == "__main__":
    sys.exit(main())
