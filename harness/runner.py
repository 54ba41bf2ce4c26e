"""Runs scenario files and prints one row for each.

``python -m harness.runner FILE...`` runs scenarios; with ``--without`` each
runs with its mechanism turned off, and must fail.
"""

import argparse
import json
import re
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import yaml

from .checks import checks
from .fleet import Fleet, FleetError, TargetSpec
from .language import ScenarioError, parse_scenario
from .steps import steps
from .watcher import RevisionWatcher, read_revision

SCENARIOS = Path(__file__).parent.parent / "tests" / "scenarios"
_DATA_CENTRES = ("akl-a", "ham-b", "wlg-c")


class ScenarioRun:
    """One run of a scenario: the fleet, its callers, and what was noted.

    Parameters
    ----------
    scenario : Scenario
        What to run.
    mutations : sequence of str, default=()
        Mechanisms to turn off.
    seed : int or None, default=None
        Replaces the scenario's seed.
    """

    def __init__(self, scenario, mutations=(), seed=None):
        self.scenario = scenario
        declared = scenario.find_all("seed")
        self.seed = int(declared[0].words[0]) if declared else 1
        self.seed = self.seed if seed is None else seed
        self.fleet = build_fleet(scenario, tuple(mutations))
        self.callers = {}
        self.marks = {}
        self.problems = []
        self.notes = []
        self.records = {}
        self.published_at = 0.0
        self.revision = 1
        self.watcher = None
        self._calls = (0, 0.0)

    def run(self):
        """Run the scenario; return the list of what was wrong."""
        with self.fleet:
            self.watcher = RevisionWatcher(self.fleet)
            self._calls = (self._read_calls(), time.time())
            try:
                self._run_steps()
                self._end_traffic()
                self._read_records()
            finally:
                self.watcher.stop()
            self._run_checks()
        return self.problems

    def publish_configuration(self):
        """Publish the fleet's configuration as it stands."""
        self.fleet.publish("configuration", self.fleet.configuration())
        self.published_at = time.time()
        self.revision += 1

    def publish_together(self, documents):
        """Publish two configurations under one revision."""
        texts = [yaml.safe_dump(document) for document in documents]
        names = ",".join(f"entry-{n}" for n in range(0, self.fleet.hosts, 2))
        self._control("POST", f"/control/split/configuration?second={names}", texts)
        self.published_at = time.time()
        self.revision += 1

    def change_service(self, mode, hosts, options):
        """Change how the configuration service behaves for hosts, or for all."""
        fault = {"mode": mode}
        if "delay" in options:
            fault["delay"] = float(options["delay"])
        if "revision" in options:
            fault["revisions"] = {"configuration": int(options["revision"])}
        for number in [None] if hosts is None else hosts:
            reader = {} if number is None else {"reader": f"entry-{number}"}
            self._control("POST", "/control/fault", {**fault, **reader})

    def await_revision(self, hosts, end):
        """Wait for the newest revision; return hosts that lack it at the end."""
        left = list(hosts)
        while left and time.time() < end:
            left = [number for number in left if not self._has_revision(number)]
            time.sleep(0.02)
        return left

    def read_configurations(self):
        """Return the different configurations in force at all hosts."""
        found = set()
        for number in range(self.fleet.hosts):
            address = self.fleet.entry_address(number)
            found.add(read_revision(self.fleet.http, address))
        return found

    def body_size(self, sent):
        """Return the size of the request body of a caller's request."""
        name = sent.request_id.rsplit("-", 1)[0]
        return self.callers[name].body_size

    def is_busy(self, number):
        """Tell whether a target has run requests in all its slots."""
        record = self.fleet.read_records(number)
        slots = record["behaviour"]["slots"]
        return any(run["concurrency"] >= slots for run in record["runs"])

    def count_service_calls(self):
        """Return calls a second of the configuration service in this run."""
        calls, since = self._calls
        return (self._read_calls() - calls) / (time.time() - since)

    def _has_revision(self, number):
        address = self.fleet.entry_address(number)
        try:
            found = read_revision(self.fleet.http, address)
        except Exception:  # A host that does not answer lacks the revision.
            return False
        return found is not None and found[0] >= self.revision

    def _control(self, method, path, document):
        url = f"http://{self.fleet.service_address}{path}"
        body = json.dumps(document).encode()
        response = self.fleet.http.request(method, url, body=body, timeout=5.0)
        if response.status >= 300:
            raise FleetError(f"the service refused {path}: {response.data!r}")

    def _read_calls(self):
        url = f"http://{self.fleet.service_address}/control/calls"
        return self.fleet.http.request("GET", url, timeout=5.0).json()["total"]

    def _run_steps(self):
        for statement in self.scenario.steps:
            steps.find(statement.verb)(self, statement)

    def _end_traffic(self):
        for caller in self.callers.values():
            caller.stop()
        for name, caller in self.callers.items():
            if not caller.join():
                self.problems.append(f"traffic {name} did not end")

    def _read_records(self):
        # What is still running at a target may end a moment after its caller.
        time.sleep(0.3)
        for number, process in enumerate(self.fleet.target_processes):
            process.resume()
            if process.running:
                self.records[number] = self.fleet.read_records(number)
            else:
                self.records[number] = {"runs": [], "refusals": []}

    def _run_checks(self):
        for statement in self.scenario.expect:
            problem = checks.find(statement.verb)(self, statement)
            if problem is not None:
                self.problems.append(f"{statement}: {problem}")


def build_fleet(scenario, mutations):
    """Return the fleet that a scenario declares."""
    fleet = Fleet((), links=True, mutations=mutations, data_centres=_DATA_CENTRES)
    targets = []
    for statement in scenario.fleet:
        if statement.verb == "hosts":
            fleet.hosts = int(statement.words[0])
        elif statement.verb == "targets":
            targets += [build_target(statement)] * int(statement.options["count"])
        elif statement.verb == "cold-start":
            fleet.warm = False
        elif statement.verb == "default":
            fleet.defaults[statement.words[0]] = yaml.safe_load(statement.words[1])
        elif statement.verb == "setting":
            fleet.settings[statement.words[0]] = yaml.safe_load(statement.words[1])
        else:
            raise ScenarioError(f"line {statement.line}: unknown {statement.verb!r}")
    fleet.targets = tuple(targets)
    return fleet


def build_target(statement):
    """Return the target that a fleet statement declares."""
    service, data_centre = statement.words
    names = {
        "slots": "--slots",
        "work_ms": "--work-ms",
        "cold_ms": "--cold-ms",
        "cold_slots": "--cold-slots",
        "cold_responses": "--cold-responses",
    }
    options = []
    for name, value in statement.options.items():
        if name != "count":
            options += [names[name], value]
    return TargetSpec(service, data_centre, tuple(options))


def run_file(path, without, seed):
    """Run one file; return its name and what was wrong."""
    rows = []
    try:
        scenario = parse_scenario(path.read_text(), str(path))
    except ScenarioError as error:
        # A file that cannot be read is a failure with and without mechanisms.
        return [(path, str(error), [] if without else [str(error)], 0.0)]
    mutations = [s.words[0] for s in scenario.find_all("without")]
    for mutation in mutations if without else [None]:
        name = scenario.name if mutation is None else f"{scenario.name}, no {mutation}"
        started = time.monotonic()
        notes = []
        try:
            run = ScenarioRun(scenario, [mutation] if mutation else (), seed)
            notes = run.notes
            problems = run.run()
        except (FleetError, ScenarioError, OSError) as error:
            problems = [f"could not run: {error}"]
            if without:
                # A run that breaks down proves nothing about the mechanism.
                print(f"{path.stem}: {problems[0][:200]}")
                problems = []
        rows.append((path, name, problems, notes, time.monotonic() - started))
    return rows


def find_files(names):
    """Return the scenario files of the names given, or all."""
    if not names:
        return sorted(SCENARIOS.glob("*.scenario"))
    return [Path(name) for name in names]


def main(arguments=None):
    """Run scenarios; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="*")
    parser.add_argument("--without", action="store_true")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args(arguments)
    files = find_files(options.files)
    failed = 0
    total = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        for rows in pool.map(
            lambda path: run_file(path, options.without, options.seed), files
        ):
            for path, name, problems, notes, seconds in rows:
                total += 1
                good = bool(problems) if options.without else not problems
                failed += not good
                print_row(path, name, problems, notes, seconds, good)
    print(f"{total - failed} passed, {failed} failed")
    return 1 if failed else 0


def print_row(path, name, problems, notes, seconds, good):
    """Print the row of one run, what was wrong and what was measured."""
    state = "pass" if good else "FAIL"
    print(f"{state}  {seconds:5.1f} s  {path.stem}: {name}")
    for problem in problems:
        text = re.sub(r"\s+", " ", problem)
        print(f"        {text[:400]}")
    for note in notes:
        print(f"        measured: {note}")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
