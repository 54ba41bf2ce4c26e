"""Compare target choice policies under load: real processes over loopback."""

import argparse
import contextlib
import random
import statistics
import sys
import time
from dataclasses import dataclass

from harness.benchfleet import BenchFleet, Noise, render_ratio
from harness.fleet import TargetSpec
from redwingspring.defaults import KEYS

SERVICE = "fault-desk"
DATA_CENTRES = ("akl-a", "ham-b", "wlg-c")
BASELINES = ("random", "round-robin", "fewest-outstanding", "two-choices")
# Policy, hedge share and outlier factor; None stands for the default of the key.
# Baselines run without hedges and without ejection of slow targets; the two
# mechanisms are also measured with the best baseline, and one by one.
CONTENDERS = {name: (name, 0.0, 0) for name in BASELINES} | {
    "fewest-with-both": ("fewest-outstanding", 0.02, None),
    "default": (None, None, None),
    "default-hedged": (None, 0.02, None),
    "default-no-eject": (None, None, 0),
}
MAX_RESULT_WAIT_S = 60.0
PREPARE_S = 3.0
# Factors on the work times of one target; with the second it never answers.
SLOWNESS = {"straggler": 10.0, "freeze": 10_000.0}


@dataclass(frozen=True)
class Scenario:
    """Load and disturbance of one measurement."""

    load: float
    disturb: str = ""


SCENARIOS = {
    "steady-50": Scenario(0.50),
    "steady-70": Scenario(0.70),
    "steady-85": Scenario(0.85),
    "noisy-70": Scenario(0.70, "noise"),
    "straggler-70": Scenario(0.70, "straggler"),
    "fail-fast-70": Scenario(0.70, "fail"),
    # Two thirds of the slots bear 50% of the whole.
    "centre-out-50": Scenario(0.50, "centre"),
    "overload-130": Scenario(1.30),
    "freeze-70": Scenario(0.70, "freeze"),
}


@dataclass(frozen=True)
class Cell:
    """What one policy did in one scenario and round."""

    p50: float
    p99: float
    p999: float
    errors: float
    refusals: float
    extra: float


class Bench:
    """Runs cells on one fleet and collects them."""

    def __init__(self, options, fleet):
        self.options = options
        self.fleet = fleet
        self.random = random.Random(options.seed)
        self.slots = options.targets * options.slots

    def apply(self, contender, exceptions=()):
        """Publish the configuration of a contender."""
        policy, share, outlier = CONTENDERS[contender]
        defaults = {
            "balance.policy": policy or KEYS["balance.policy"].default,
            "target.slots": self.options.slots,
        }
        if share is None and self.options.hedge_share is not None:
            share = self.options.hedge_share
        if share is not None:
            defaults["hedge.share"] = render_ratio(share)
        if outlier is not None:
            defaults["eject.outlier"] = outlier
        self.fleet.defaults = defaults
        self.fleet.exceptions = list(exceptions)
        self.fleet.publish("configuration", self.fleet.configuration())

    def start_load(self, share, duration, warm_up):
        """Start one load process for each host."""
        rate = share * self.slots / (self.options.work_ms / 1000)
        return [
            self.fleet.start_load(
                number,
                f"/{SERVICE}/status",
                rate / self.options.hosts,
                duration,
                warm_up,
                self.random.randrange(2**31),
            )
            for number in range(self.options.hosts)
        ]

    def run_cell(self, contender, scenario):
        """Measure a contender in a scenario."""
        options = self.options
        self.apply(contender)
        before = self.fleet.count_attempts()
        duration = options.warm_up + options.duration
        with contextlib.ExitStack() as stack:
            self._disturb(scenario, stack)
            load = self.start_load(scenario.load, duration, options.warm_up)
            if scenario.disturb == "centre":
                self._move_centre(contender, duration)
            result = self.fleet.collect_load(load, duration + MAX_RESULT_WAIT_S)
        after = self.fleet.count_attempts()
        sent = after["attempts"] - before["attempts"]
        repeats = after["repeats"] - before["repeats"]
        total = result.succeeded + result.failed + result.refused + result.unsent
        return Cell(
            result.read_percentile(50),
            result.read_percentile(99),
            result.read_percentile(99.9),
            (result.failed + result.unsent) / max(1, total),
            result.refused / max(1, total),
            repeats / max(1, sent - repeats),
        )

    def _disturb(self, scenario, stack):
        if scenario.disturb == "noise":
            stack.enter_context(Noise(self.fleet, self.random.random()))
        elif scenario.disturb in SLOWNESS:
            index = self.random.randrange(self.options.targets)
            slowness = SLOWNESS[scenario.disturb]
            self.fleet.change_target(index, slowness=slowness)
            stack.callback(self.fleet.change_target, index, slowness=1.0)
        elif scenario.disturb == "fail":
            index = self.random.randrange(self.options.targets)
            self.fleet.change_target(index, failing=True)
            stack.callback(self.fleet.change_target, index, failing=False)

    def _move_centre(self, contender, duration):
        """Take a data centre out after a third of the run, and back."""
        time.sleep(duration / 3)
        out = {
            "data_centre": DATA_CENTRES[0],
            "set": {"serve": "out"},
            "reason": "bench takes the data centre out",
        }
        self.apply(contender, [out])
        time.sleep(duration / 3)
        self.apply(contender)


def format_cells(name, cells):
    """Return the table row of one contender in one scenario."""

    def median(field):
        return statistics.median(getattr(cell, field) for cell in cells)

    p99 = [cell.p99 for cell in cells]
    return (
        f"  {name:20}{median('p50'):8.1f}{median('p99'):8.1f}"
        f"{f'{min(p99):.0f}-{max(p99):.0f}':>12}{median('p999'):8.1f}"
        f"{100 * median('errors'):8.2f}{100 * median('refusals'):8.2f}"
        f"{100 * median('extra'):8.2f}"
    )


def format_ratio(results, contender):
    """Return the p99 of a contender against the best baseline, by round."""
    baselines = [results[name] for name in results if name in BASELINES]
    if not baselines or contender not in results:
        return ""
    best = min(baselines, key=lambda cells: statistics.median(c.p99 for c in cells))
    ratios = [
        cell.p99 / other.p99
        for cell, other in zip(results[contender], best, strict=True)
    ]
    return (
        f"  {contender} p99 / best baseline p99: {statistics.median(ratios):.2f} "
        f"({min(ratios):.2f}-{max(ratios):.2f} by round)"
    )


def read_options():
    """Return the command line options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="one short round")
    parser.add_argument("--policies", default=",".join((*BASELINES, "default")))
    parser.add_argument("--scenarios", default=",".join(SCENARIOS))
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--duration", type=float, default=4.0, help="seconds")
    parser.add_argument("--warm-up", type=float, default=1.0, help="seconds")
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--targets", type=int, default=12)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--queue", type=int, default=3, help="waiting at a target")
    parser.add_argument("--work-ms", type=float, default=50.0)
    parser.add_argument(
        "--spread", type=float, default=0.2, help="share of the work time that varies"
    )
    parser.add_argument("--hedge-share", type=float, help="of the default policy")
    parser.add_argument("--seed", type=int, default=random.randrange(10**6))
    options = parser.parse_args()
    if options.quick:
        options.rounds, options.duration = 1, 2.0
    options.policies = options.policies.split(",")
    options.scenarios = options.scenarios.split(",")
    return options


def main():
    """Run the comparison; return the exit code."""
    options = read_options()
    print(
        f"seed {options.seed}; {options.hosts} hosts, {options.targets} targets of "
        f"{options.slots} slots, mean work {options.work_ms:g} ms, "
        f"spread {options.spread:g}; "
        f"{options.rounds} rounds of {options.duration:g} s",
        flush=True,
    )
    target_options = (
        "--slots", str(options.slots),
        "--queue", str(options.queue),
        "--work-ms", str(options.work_ms),
        "--spread", str(options.spread),
    )  # fmt: skip
    targets = tuple(
        TargetSpec(SERVICE, DATA_CENTRES[index % 3], target_options)
        for index in range(options.targets)
    )
    results = {name: {p: [] for p in options.policies} for name in options.scenarios}
    with BenchFleet(targets, hosts=options.hosts, data_centres=DATA_CENTRES) as fleet:
        bench = Bench(options, fleet)
        bench.apply(options.policies[0])
        load = bench.start_load(0.2, PREPARE_S, 0.0)
        fleet.collect_load(load, PREPARE_S + MAX_RESULT_WAIT_S)
        for number in range(options.rounds):
            for name in options.scenarios:
                # The order changes by round, so that drift of the machine does
                # not always meet the same policy.
                order = options.policies[number % len(options.policies) :]
                order += options.policies[: number % len(options.policies)]
                for policy in order:
                    cell = bench.run_cell(policy, SCENARIOS[name])
                    results[name][policy].append(cell)
    print(
        f"{'scenario, policy':22}{'p50 ms':>8}{'p99 ms':>8}{'p99 range':>12}"
        f"{'p99.9':>8}{'error %':>8}{'refus %':>8}{'extra %':>8}"
    )
    for name, cells in results.items():
        print(name)
        for policy in options.policies:
            print(format_cells(policy, cells[policy]))
        for contender in options.policies:
            if contender not in BASELINES and cells[contender]:
                print(format_ratio(cells, contender))
    return 0


if __name__ == "__main__":
    sys.exit(main())
