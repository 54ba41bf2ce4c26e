"""Measure how fast published configurations come into force and what it costs."""

import argparse
import re
import socket
import statistics
import threading
import time
from pathlib import Path

import yaml

from harness.distribution import ServiceControl, wait_in_force
from harness.fleet import Fleet, TargetSpec


def read_processor_seconds(process):
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rpartition(")")[2]
    values = fields.split()
    return (int(values[11]) + int(values[12])) / 100


class CounterSink:
    """Sums a statsd counter of all hosts."""

    def __init__(self, name):
        self.total = 0
        self._pattern = re.compile(rf"{re.escape(name)}:(\d+)\|c".encode())
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            for value in self._pattern.findall(self._socket.recv(65535)):
                self.total += int(value)


class Usage:
    """What the hosts and the service use between two points in time."""

    def __init__(self, fleet, sink):
        self._fleet = fleet
        self._sink = sink
        self._service = ServiceControl(fleet)
        self._start = self._read()

    def _read(self):
        return (
            time.time(),
            self._service.count_calls()["total"],
            sum(map(read_processor_seconds, self._fleet.entries)),
            self._sink.total,
        )

    def report(self):
        """Return calls a second, and core share and bytes a second per host."""
        seconds, calls, processor, size = (
            end - start for end, start in zip(self._read(), self._start, strict=True)
        )
        hosts = self._fleet.hosts
        return (
            f"{calls / seconds:.2f} service calls/s, "
            f"{processor / seconds / hosts * 100:.2f}% of a core and "
            f"{size / seconds / hosts / 1000:.1f} kB/s sent to peers per host"
        )


def measure(hosts, options):
    """Print the figures of a fleet of a size."""
    targets = tuple(TargetSpec("fault-desk", "akl-a") for _ in range(2))
    sink = CounterSink("redwingspring.peers.bytes_sent")
    with Fleet(targets, hosts=hosts, settings={"statsd": sink.address}) as fleet:
        # Watches of the start end after 20 s.
        time.sleep(options.warm_up)
        usage = Usage(fleet, sink)
        time.sleep(options.quiet)
        print(f"{hosts} hosts, quiet: {usage.report()}", flush=True)
        usage = Usage(fleet, sink)
        delays, start = [], time.time()
        for number in range(options.changes):
            text = yaml_text(fleet.configuration(), number, options.padding)
            published = time.time()
            fleet.publish("configuration", text)
            time.sleep(options.interval)
            entries = wait_in_force(fleet, number + 2, range(hosts), timeout=30.0)
            delays.extend(entry["time"] - published for entry in entries)
        rate = options.changes / (time.time() - start)
        print(
            f"{hosts} hosts, {options.changes} changes of {len(text)} bytes at "
            f"{rate:.2f}/s: median {statistics.median(delays) * 1000:.0f} ms, "
            f"maximum {max(delays) * 1000:.0f} ms, {usage.report()}",
            flush=True,
        )


def yaml_text(document, number, padding):
    """Return a document of about a size that differs for each number."""
    line = "# padding of a large published document, one comment line\n"
    return (
        f"# change {number}\n"
        + yaml.safe_dump(document)
        + line * (padding // len(line))
    )


def main():
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[4, 8, 16])
    parser.add_argument("--warm-up", type=float, default=25.0, help="seconds")
    parser.add_argument("--quiet", type=float, default=40.0, help="seconds")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--interval", type=float, default=1.0)
    parser.add_argument("--padding", type=int, default=0, help="bytes added")
    options = parser.parse_args()
    for hosts in options.hosts:
        measure(hosts, options)


if __name__ == "__main__":
    main()
