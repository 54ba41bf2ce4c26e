"""Measure what an entry process adds to a call, and how many calls it bears."""

import argparse
import json
import statistics
import sys
from dataclasses import dataclass

from harness.benchfleet import BenchFleet
from harness.fleet import TargetSpec

SERVICE = "fault-desk"
SLOTS = 64
RELAY_NUMBER = 90
TIMEOUT_S = 30.0


@dataclass
class PathFleet(BenchFleet):
    """A fleet that can run its entry processes with timers."""

    timed: bool = False

    def start_entry(self, number):
        if not self.timed:
            return super().start_entry(number)
        process = super().start_entry(number)
        process.kill()
        settings = self.path / f"entry-{number}.yaml"
        return self.run_module(
            f"entry-{number}",
            self.entry_address(number),
            "harness.timedentry",
            "--settings",
            str(settings),
        )

    def start_relay(self):
        address = f"{self.network}.{RELAY_NUMBER}:7000"
        self.run_module(
            "relay", address, "harness.barerelay", "--listen", address,
            "--target", self.target_address(0),
        )  # fmt: skip
        url = f"http://{address}/status"
        self.wait_until(lambda: self.http.request("GET", url).status == 200, "relay")
        return url

    def start_client(self, url, duration, connections):
        self.loads += 1
        return self.run_module(
            f"client-{self.loads}", "", "harness.closedloop", url,
            "--duration", str(duration), "--connections", str(connections),
        )  # fmt: skip

    def measure(self, urls, duration, connections=1):
        clients = [self.start_client(url, duration, connections) for url in urls]
        return self.collect_load(clients, duration + TIMEOUT_S)

    def entry_url(self, number):
        return f"http://{self.entry_address(number)}/{SERVICE}/status"


def make_fleet(hosts, timed=False):
    options = ("--slots", str(SLOTS), "--queue", str(SLOTS), "--work-ms", "0")
    targets = tuple(TargetSpec(SERVICE, "akl-a", options) for _ in range(4))
    return PathFleet(
        targets, hosts=hosts, defaults={"target.slots": SLOTS}, timed=timed
    )


def measure_added(options):
    """Print latency of the direct call, the bare relay and the entry."""
    with make_fleet(1) as fleet:
        urls = {
            "direct": f"http://{fleet.target_address(0)}/status",
            "bare relay": fleet.start_relay(),
            "entry": fleet.entry_url(0),
        }
        rounds = {name: [] for name in urls}
        for url in urls.values():
            fleet.measure([url], 0.5)
        for _ in range(options.rounds):
            for name, url in urls.items():
                rounds[name].append(fleet.measure([url], options.duration))
    print(f"{'path':12}{'p50 ms':>9}{'p99 ms':>9}{'added p50':>11}{'added p99':>11}")
    added = {}
    for name, results in rounds.items():
        values = [
            statistics.median(r.read_percentile(p) for r in results) for p in (50, 99)
        ]
        added[name] = [
            statistics.median(
                r.read_percentile(p) - d.read_percentile(p)
                for r, d in zip(results, rounds["direct"], strict=True)
            )
            for p in (50, 99)
        ]
        print(
            f"{name:12}{values[0]:9.3f}{values[1]:9.3f}"
            f"{added[name][0]:11.3f}{added[name][1]:11.3f}"
        )
    for index, label in enumerate(("p50", "p99")):
        ratio = added["entry"][index] / max(0.001, added["bare relay"][index])
        print(f"entry adds {ratio:.2f} times what the bare relay adds at {label}")


def measure_parts(options):
    """Print the time of each part of a call."""
    with make_fleet(1, timed=True) as fleet:
        fleet.measure([fleet.entry_url(0)], options.duration)
        entry = fleet.processes["entry-0"]
        entry.terminate()
        entry.wait(TIMEOUT_S)
        parts = json.loads(entry.log.read_text().splitlines()[-1])
    print("part (of the entry, with timers)    p50 us   p99 us")
    for name, (median, high) in parts.items():
        print(f"  {name:32}{median:9}{high:9}")


def measure_throughput(options):
    """Print calls a second through one, two and four entry processes."""
    with make_fleet(4) as fleet:
        for number in range(4):
            fleet.measure([fleet.entry_url(number)], 0.3)
        first = None
        for hosts in (1, 2, 4):
            urls = [fleet.entry_url(number) for number in range(hosts)]
            result = fleet.measure(urls, options.duration, options.connections)
            rate = result.succeeded / options.duration
            first = first or rate
            print(
                f"{hosts} entry processes: {rate:.0f} calls/s ({rate / first:.2f} "
                f"times one), p99 {result.read_percentile(99):.1f} ms, "
                f"{result.failed} failed"
            )


def main():
    """Run the measurements; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--duration", type=float, default=2.0, help="seconds")
    parser.add_argument("--connections", type=int, default=4, help="of each client")
    parser.add_argument("--quick", action="store_true")
    options = parser.parse_args()
    if options.quick:
        options.rounds, options.duration = 2, 1.0
    measure_added(options)
    measure_parts(options)
    measure_throughput(options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
