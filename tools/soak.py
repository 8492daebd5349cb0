"""Run seeds of the fault soak against real daemons on this machine.

Run it as `python -m tools.soak --seed S --seeds N` from the root. The logs of
the daemons of a seed that violated an invariant are kept.
"""

import argparse
import sys
import tempfile
from pathlib import Path
from shutil import rmtree

import trio

from catkinhollow.testbed.soak import Soak


def main() -> int:
    """Run the seeds and return 1 if any violated an invariant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--daemons", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--late-frames", action="store_true")
    parser.add_argument("--signals", action="store_true")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = Soak(
            seed,
            daemons=options.daemons,
            seconds=options.seconds,
            directory=directory,
            late_frames=options.late_frames,
            signals=options.signals,
        )
        result = trio.run(soak.run)
        statuses = dict(sorted(result.statuses.items()))
        print(
            f"seed {seed}: {len(result.faults)} faults, answers {statuses},"
            f" {result.judged_answers} answers judged by version,"
            f" {result.quiet_windows} windows by share,"
            f" {len(result.violations)} violations,"
            f" test process stalled for {result.stalled_s:.1f} s,"
            f" daemons starved for {result.starved_s:.1f} s",
            flush=True,
        )
        if not result.violations:
            rmtree(directory)
            continue
        failed += 1
        for line in result.timeline:
            print(f"  {line}")
        print(f"  logs in {directory}")
    print(f"{failed} of {options.seeds} seeds violated an invariant")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
