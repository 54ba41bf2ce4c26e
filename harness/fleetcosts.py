"""Costs of entry processes as parts of a fleet of real processes."""

import re
import socket
import statistics
import threading
import time
from collections import Counter
from pathlib import Path

import urllib3

from .costs import make_document
from .distribution import read_audit, wait_in_force
from .fleet import Fleet, TargetSpec
from .traffic import Caller

TICKS_PER_SECOND = 100
SETTLE_S = 2.0
_COUNTER = re.compile(rb"redwingspring\.([\w-]+)\.([\w.-]+):(-?[0-9.]+)\|([cg])")


class StatsListener:
    """Collects what entry processes send by statsd.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    """

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self._lock = threading.Lock()
        self._totals = Counter()
        self.gauges = {}
        threading.Thread(target=self._run, daemon=True).start()

    def total(self, name):
        """Return a counter summed over all hosts."""
        with self._lock:
            return self._totals[name]

    def close(self):
        """Stop listening."""
        self._socket.close()

    def _run(self):
        while True:
            try:
                data = self._socket.recv(4096)
            except OSError:
                return
            with self._lock:
                for host, name, value, kind in _COUNTER.findall(data):
                    key = name.decode()
                    if kind == b"c":
                        self._totals[key] += int(value)
                    else:
                        self.gauges.setdefault((host, key), []).append(float(value))


class MeasuredFleet(Fleet):
    """A fleet whose processor time, memory and bytes are read."""

    def __enter__(self):
        address = f"{self.network}.4:8125"
        self.stats = StatsListener(address)
        self.settings["statsd"] = address
        return super().__enter__()

    def close(self):
        """End every process of the fleet."""
        self.stats.close()
        super().close()

    def processor_seconds(self):
        """Return the processor time of all entry processes so far."""
        total = 0
        for process in self.entries:
            text = Path(f"/proc/{process.popen.pid}/stat").read_text()
            fields = text.rpartition(")")[2].split()
            total += int(fields[11]) + int(fields[12])
        return total / TICKS_PER_SECOND

    def resident_mib(self):
        """Return the mean resident memory of the entry processes."""
        sizes = []
        for process in self.entries:
            text = Path(f"/proc/{process.popen.pid}/status").read_text()
            sizes.append(int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024)
        return statistics.fmean(sizes)

    def watch(self, seconds, during=None):
        """Return what a host uses in a window, as means over all hosts.

        Parameters
        ----------
        seconds : float
            Length of the window.
        during : callable or None, default=None
            Called with the end of the window by the monotonic clock.

        Returns
        -------
        dict
            ``cpu_percent`` of a core, ``bytes_per_s`` and ``rss_mib``.
        """
        sent, used = self.stats.total("peers.bytes_sent"), self.processor_seconds()
        started = time.monotonic()
        end = started + seconds
        if during is not None:
            during(end)
        time.sleep(max(0.0, end - time.monotonic()))
        length = time.monotonic() - started
        used = self.processor_seconds() - used
        sent = self.stats.total("peers.bytes_sent") - sent
        return {
            "cpu_percent": used / length / self.hosts * 100,
            "bytes_per_s": sent / length / self.hosts,
            "rss_mib": self.resident_mib(),
            "seconds": length,
        }


def measure_heartbeats(hosts, rounds, seconds):
    """Return windows of an idle fleet of a size."""
    with MeasuredFleet((), hosts=hosts) as fleet:
        time.sleep(SETTLE_S)
        return [fleet.watch(seconds) for _ in range(rounds)]


def measure_changes(rates, rounds, seconds, targets, hosts=4):
    """Return windows by changes a second, and the delays until in force.

    Parameters
    ----------
    rates : sequence of float
        Changes a second.
    rounds : int
        Windows of each rate.
    seconds : float
        Length of a window.
    targets : int
        Targets in the published document.
    hosts : int, default=4
        Entry processes.

    Returns
    -------
    tuple of dict and list of float
        Windows by rate, and seconds from publication to force by host.
    """
    text = make_document(targets, targets // 5)
    published = {}
    windows = {rate: [] for rate in rates}
    with MeasuredFleet((), hosts=hosts) as fleet:

        def publish():
            revision = len(published) + 2
            published[revision] = time.time()
            fleet.publish("configuration", f"# change {revision}\n{text}")

        def publish_at(rate):
            def run(end):
                count = max(1, round(rate * seconds))
                due = time.monotonic()
                for _ in range(count):
                    publish()
                    due += seconds / count
                    time.sleep(max(0.0, due - time.monotonic()))

            return run

        publish()
        time.sleep(SETTLE_S)
        for _ in range(rounds):
            for rate in rates:
                windows[rate].append(fleet.watch(seconds, publish_at(rate)))
        wait_in_force(fleet, len(published) + 1, range(hosts))
        delays = [
            entry["time"] - published[int(entry["subject"].split()[1])]
            for number in range(hosts)
            for entry in read_audit(fleet, number, "configuration-taken")
            if int(entry["subject"].split()[1]) in published
        ]
    return windows, delays


def measure_requests(rates, rounds, seconds):
    """Return windows by requests a second, and the latency that is added.

    Parameters
    ----------
    rates : sequence of float
        Requests a second sent to one entry process.
    rounds : int
        Windows of each rate.
    seconds : float
        Length of a window.

    Returns
    -------
    tuple of dict and dict
        Windows by rate, and latencies in milliseconds.
    """
    options = ("--work-ms", "1", "--slots", "16")
    specs = tuple(TargetSpec("desk", "akl-a", options) for _ in range(4))
    windows = {rate: [] for rate in rates}
    with MeasuredFleet(specs, hosts=1, defaults={"target.slots": 16}) as fleet:
        time.sleep(1.0)
        for number in range(rounds):
            for rate in rates:
                windows[rate].append(_watch_rate(fleet, rate, seconds, number))
        latency = _measure_latency(fleet)
        for key in ("p50_ms", "p99_ms"):
            gauges = fleet.stats.gauges.get((b"entry-0", f"requests.added.{key}"), ())
            # A gauge is sent each second, and is renewed each 10 s.
            latency[f"added_under_load_{key}"] = list(dict.fromkeys(gauges))
    return windows, latency


def _watch_rate(fleet, rate, seconds, number):
    caller = Caller(
        fleet, f"rate-{rate}-{number}", "GET", "/desk/*", rate, (0,), number
    )
    time.sleep(0.5)
    before = len(caller.results)
    window = fleet.watch(seconds)
    done = len(caller.results) - before
    caller.stop()
    caller.join()
    failed = sum(sent.status != 200 for sent in caller.results)
    return {**window, "rate": done / window["seconds"], "failed": failed}


def _measure_latency(fleet, rounds=3, count=300):
    """Return latencies of single calls, direct and through an entry process."""
    urls = {
        "direct": f"http://{fleet.target_address(0)}/x",
        "through": f"http://{fleet.entry_address(0)}/desk/x",
    }
    found = {f"{way}_{share}": [] for way in urls for share in ("p50", "p99")}
    http = urllib3.PoolManager(retries=False)
    for _ in range(rounds):
        for way, url in urls.items():
            times = []
            for _ in range(count):
                started = time.monotonic()
                http.request("GET", url)
                times.append((time.monotonic() - started) * 1e3)
            times.sort()
            found[f"{way}_p50"].append(times[count // 2])
            found[f"{way}_p99"].append(times[int(count * 0.99)])
    return found
