"""Measure the slopes from which docs/CAPACITY.md extrapolates."""

import argparse
import concurrent.futures
import dataclasses
import json
import os
import platform
import statistics
import subprocess
import sys
import time
from pathlib import Path

from harness import costs, fleetcosts
from harness.capacitymodel import derive_figures, format_figures
from harness.fits import Series, fit_series, format_fits

RESULTS = Path(__file__).parent.parent / "results" / "capacity.json"
# Single costs are taken from processor time, so a few may run side by side.
PARALLEL = 4
COST_ROUNDS = 3
MEMORY_ROUNDS = 3
FLEET_ROUNDS = 3
FLEET_WINDOW_S = 2.5
# Counters arrive once a second, so bytes are counted over whole seconds.
HEARTBEAT_WINDOW_S = 3.0
PROBES = {
    "configuration": costs.measure_configuration,
    "memory": costs.measure_memory,
    "heartbeats": costs.measure_heartbeats,
    "choice": costs.measure_choice,
    "grant": costs.measure_grant,
    "host list": costs.measure_host_list,
    "lease": costs.measure_lease,
    "value": costs.measure_value,
    "status": costs.measure_status,
    "address": costs.measure_address,
}
# Group name: probe, sizes, arguments for a size, unit of the size, and whether
# each size needs a fresh process because memory is measured.
GROUPS = {
    "targets": (
        "configuration", (750, 1500, 3000, 6000), lambda n: (n, 200, 0), "targets", 1
    ),
    "services": (
        "configuration", (200, 400, 800, 1600), lambda n: (1600, n, 0), "services", 1
    ),
    "exceptions": (
        "configuration", (200, 400, 800, 1600), lambda n: (1600, 200, n), "exceptions",
        1,
    ),
    "request log": (
        "memory", (12500, 25000, 37500, 50000), lambda n: ("requests", n), "ids", 1
    ),
    "audit trail": (
        "memory", (500, 1000, 1500, 2000), lambda n: ("audit", n), "entries", 1
    ),
    "timings": (
        "memory", (12500, 25000, 37500, 50000), lambda n: ("timings", n), "samples", 1
    ),
    "hosts": ("heartbeats", (100, 200, 400, 800), lambda n: (n,), "hosts", 0),
    "host list": ("host list", (250, 500, 1000, 2000), lambda n: (n,), "hosts", 0),
    "choice": ("choice", (3, 10, 30, 100), lambda n: (n,), "targets of a service", 0),
    "grant": ("grant", (500, 1000, 2000, 4000), lambda n: (n,), "targets", 0),
    "lease": ("lease", (3, 5, 7, 9), lambda n: (n,), "grantors", 0),
    "value": ("value", (48, 96, 192, 384), lambda n: (n,), "KiB", 0),
    "status targets": (
        "status", (500, 1000, 2000, 4000), lambda n: (n, 16), "targets", 0
    ),
    "status hosts": ("status", (50, 100, 200, 400), lambda n: (50, n), "hosts", 0),
    "address": ("address", (50, 100, 200, 400), lambda n: (n,), "hosts", 0),
}  # fmt: skip
# Measured at the target size, to check the extrapolation.
FULL_SIZE = (12_000, 2_300, 500)
HOSTS = (4, 8, 12, 16)
CHANGE_RATES = (0.4, 0.8, 1.2, 2)
CHANGE_TARGETS = 1500
REQUEST_RATES = (50, 100, 150, 200)


def run_probe(name, sizes):
    """Return the values of a probe, taken in a fresh process for all sizes."""
    command = [sys.executable, __file__, "--probe", name, json.dumps(sizes)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=120)
    if result.returncode:
        raise RuntimeError(f"{name} {sizes}: {result.stderr[-2000:]}")
    return json.loads(result.stdout)


def measure_group(pool, group):
    """Start the rounds of a group; return pairs of sizes and futures."""
    probe, sizes, arguments, _, fresh = GROUPS[group]
    batches = [(size,) for size in sizes] if fresh else [sizes]
    rounds = MEMORY_ROUNDS if fresh else COST_ROUNDS
    return [
        (batch, pool.submit(run_probe, probe, [arguments(size) for size in batch]))
        for _ in range(rounds)
        for batch in batches
    ]


def collect_group(group, started):
    """Return the series of a group, one for each measured field."""
    fields = {}
    for batch, future in started:
        for size, values in zip(batch, future.result(), strict=True):
            for field, value in values.items():
                points = fields.setdefault(field, {})
                points.setdefault(size, []).append(value)
    unit = GROUPS[group][3]
    series = [
        Series(f"{group}: {field}", unit, f"{_find_unit(field)}/{unit}", points)
        for field, points in fields.items()
        if field not in ("kept", "bytes", "kib")
    ]
    if group == "host list":
        # The check for duplicates compares every host with every other one.
        points = {n * n: values for n, values in fields["host_list_ms"].items()}
        name = "host list: host_list_ms by square"
        series.append(Series(name, "hosts²", "ms/hosts²", points))
    return series


def _find_unit(field):
    unit = field.rpartition("_")[2]
    return {"us": "µs", "mib": "MiB", "kib": "KiB"}.get(unit, unit)


def measure_costs():
    """Return all series measured in single processes, and the full size."""
    with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        started = {group: measure_group(pool, group) for group in GROUPS}
        full = [
            pool.submit(run_probe, "configuration", [FULL_SIZE])
            for _ in range(MEMORY_ROUNDS)
        ]
        series = [s for g, parts in started.items() for s in collect_group(g, parts)]
        return series, [future.result()[0] for future in full]


def make_fleet_series(name, unit, windows):
    """Return the series of the windows of fleets by size or rate."""
    units = {
        "cpu_percent": "% of a core",
        "bytes_per_s": "bytes/s",
        "rss_mib": "MiB",
    }
    return [
        Series(
            f"{name}: {field}",
            unit,
            f"{label}/{unit}",
            {size: [w[field] for w in found] for size, found in windows.items()},
        )
        for field, label in units.items()
    ]


def measure_fleets():
    """Return all series measured on fleets, and the other values by name."""
    windows = {
        hosts: fleetcosts.measure_heartbeats(hosts, FLEET_ROUNDS, HEARTBEAT_WINDOW_S)
        for hosts in HOSTS
    }
    series = make_fleet_series("heartbeats of a fleet", "hosts", windows)
    windows, delays = fleetcosts.measure_changes(
        CHANGE_RATES, FLEET_ROUNDS, FLEET_WINDOW_S, CHANGE_TARGETS
    )
    series += make_fleet_series("changes", "changes/s", windows)
    windows, latency = fleetcosts.measure_requests(
        REQUEST_RATES, FLEET_ROUNDS, FLEET_WINDOW_S
    )
    # Callers on a busy machine fall short of their rate. Scaled to the nominal
    # one, the windows of all rounds have the same sizes.
    for rate, found in windows.items():
        for window in found:
            window["cpu_percent"] *= rate / window["rate"]
    series += make_fleet_series("data path", "requests/s", windows)
    failed = sum(w["failed"] for found in windows.values() for w in found)
    return series, {
        "delays_s": delays,
        "latency_ms": latency,
        "failed": failed,
        "data_path_windows": windows,
    }


def describe_machine():
    """Return what the figures depend on."""
    text = Path("/proc/cpuinfo").read_text()
    models = [
        line.partition(":")[2].strip()
        for line in text.splitlines()
        if line.startswith("model name")
    ]
    return {
        "date": time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
        "processor": models[0] if models else platform.machine(),
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "load": os.getloadavg(),
    }


def print_results(machine, series, full, others):
    """Print all results as Markdown."""
    print(" ".join(f"{name} {value};" for name, value in machine.items()))
    print(format_fits(series))
    for field in full[0]:
        values = [round(run[field], 1) for run in full]
        print(f"full size {FULL_SIZE}: {field} {sorted(values)}")
    delays = sorted(others["delays_s"])
    print(
        f"changes until in force: {len(delays)} observations, median "
        f"{statistics.median(delays):.3f} s, largest {delays[-1]:.3f} s"
    )
    for name, values in others["latency_ms"].items():
        print(f"latency {name}: {[round(value, 3) for value in sorted(values)]} ms")
    print(f"failed requests: {others['failed']}")
    print(format_figures(work_out(series, full, others)))


def work_out(series, full, others):
    """Return the figures of the target size."""
    fits = {one.name: fit_series(one) for one in series}
    medians = {key: statistics.median(run[key] for run in full) for key in full[0]}
    latency = {
        name: statistics.median(values) for name, values in others["latency_ms"].items()
    }
    return derive_figures(fits, medians, latency)


def write_results(machine, series, full, others):
    """Write all raw values as JSON."""
    document = {
        "machine": machine,
        "series": [
            {**dataclasses.asdict(s), "fit": dataclasses.asdict(fit_series(s))}
            for s in series
        ],
        "full_size": {"sizes": FULL_SIZE, "runs": full},
        **others,
        "figures": [dataclasses.asdict(f) for f in work_out(series, full, others)],
    }
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(document, indent=1) + "\n")


def main():
    """Run all measurements, or one probe in a process of its own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--probe", nargs=2, metavar=("NAME", "SIZES"))
    options = parser.parse_args()
    if options.probe:
        name, sizes = options.probe
        print(json.dumps([PROBES[name](*size) for size in json.loads(sizes)]))
        return
    started = time.monotonic()
    machine = describe_machine()
    series, full = measure_costs()
    print(f"single costs took {time.monotonic() - started:.0f} s", flush=True)
    more, others = measure_fleets()
    machine["load_at_end"] = os.getloadavg()
    machine["seconds"] = round(time.monotonic() - started)
    print_results(machine, series + more, full, others)
    write_results(machine, series + more, full, others)


if __name__ == "__main__":
    main()
