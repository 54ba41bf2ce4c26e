"""Fuzz the failure point along the data path with many cases."""

import argparse
import random
import sys
import time

from tests.fuzzverdict import VerdictFuzz


def main():
    """Run the fuzz; print seed, outcome and broken promises; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cases", type=int, default=5000)
    parser.add_argument("--seed", type=int, default=random.randrange(1 << 30))
    parser.add_argument("--lanes", type=int, default=8, help="cases at once")
    options = parser.parse_args()
    # A run that does not end must not hide its seed.
    print(f"seed {options.seed}, {options.cases} cases", flush=True)
    started = time.monotonic()
    fuzz = VerdictFuzz(options.seed, options.cases, options.lanes).run()
    faults = fuzz.find_violations()
    seconds = time.monotonic() - started
    print(f"{seconds:.1f} s")
    print(fuzz.summarise())
    print(f"{len(faults)} broken promises", *faults, sep="\n")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
