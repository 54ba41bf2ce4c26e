"""Steps of scenarios."""

import copy
import time

import yaml

from redwingspring.registry import Registry

from .fleet import FleetError
from .language import ScenarioError, parse_duration, parse_numbers
from .traffic import Caller

steps = Registry("step")
EVERY = "all"


def select_hosts(run, text):
    """Return host numbers from a text such as ``0-3,7`` or ``all``."""
    if text == EVERY:
        return list(range(run.fleet.hosts))
    return parse_numbers(text)


def select_targets(run, text):
    """Return target numbers; a service or data centre names all of its own."""
    specs = run.fleet.targets
    if text == EVERY:
        return list(range(len(specs)))
    named = [n for n, spec in enumerate(specs) if text in (spec.service,)]
    named += [n for n, spec in enumerate(specs) if text == spec.data_centre]
    return named or parse_numbers(text)


def find_addresses(run, words):
    """Return IP numbers for words such as ``hosts 0-3`` or ``service``."""
    if words[0] == "service":
        return [run.fleet.service_address.rsplit(":", 1)[0]]
    if words[0] in ("host", "hosts"):
        addresses = map(run.fleet.entry_address, select_hosts(run, words[1]))
    else:
        addresses = map(run.fleet.target_address, select_targets(run, words[1]))
    return [address.rsplit(":", 1)[0] for address in addresses]


def find_processes(run, words):
    """Return processes for words such as ``host 3`` or ``targets 0-2``."""
    if words[0] == "service":
        return [run.fleet.service]
    if words[0] in ("host", "hosts"):
        return [run.fleet.entries[n] for n in select_hosts(run, words[1])]
    return [run.fleet.target_processes[n] for n in select_targets(run, words[1])]


@steps.register("wait")
def wait(run, statement):
    """``wait 2s``."""
    time.sleep(parse_duration(statement.words[0]))


@steps.register("mark")
def mark(run, statement):
    """``mark NAME``: name this moment."""
    run.marks[statement.words[0]] = time.time()


@steps.register("kill")
def kill(run, statement):
    """``kill host 3``."""
    for process in find_processes(run, statement.words):
        process.kill()


@steps.register("freeze")
def freeze(run, statement):
    """``freeze hosts 0-2``."""
    for process in find_processes(run, statement.words):
        process.freeze()


@steps.register("resume")
def resume(run, statement):
    """``resume hosts 0-2``."""
    for process in find_processes(run, statement.words):
        process.resume()


@steps.register("terminate")
def terminate(run, statement):
    """``terminate host 3``: ask for a graceful shutdown."""
    for process in find_processes(run, statement.words):
        process.terminate()


@steps.register("start")
def start(run, statement):
    """``start host 3`` or ``start target 2``: start a new process in its place."""
    kind, numbers = statement.words
    if kind in ("host", "hosts"):
        for number in select_hosts(run, numbers):
            run.fleet.entries[number].kill()
            run.fleet.entries[number] = run.fleet.start_entry(number)
    else:
        for number in select_targets(run, numbers):
            run.fleet.target_processes[number].kill()
            process = run.fleet.start_target(number)
            run.fleet.target_processes[number] = process
            run.fleet.wait_listening(process)


@steps.register("await-ready")
def await_ready(run, statement):
    """``await-ready 3 within=10s``."""
    within = parse_duration(statement.options.get("within", "20s"))
    for number in select_hosts(run, statement.words[0]):
        try:
            run.fleet.wait_ready(number, within)
        except FleetError:
            run.problems.append(f"{statement}: host {number} takes no work")


@steps.register("except")
def publish_exception(run, statement):
    """``except data_centre=akl-a serve out``: publish a further exception."""
    key, value = statement.words
    selector = dict(statement.options)
    if "target" in selector:
        number = int(selector["target"])
        selector["target"] = run.fleet.target_reach(number)
    run.fleet.exceptions.append(
        {
            **selector,
            "set": {key: yaml.safe_load(value)},
            "reason": f"scenario: {statement}",
        }
    )
    run.publish_configuration()


@steps.register("end-exceptions")
def publish_no_exceptions(run, statement):
    """``end-exceptions``: publish a configuration without exceptions."""
    run.fleet.exceptions.clear()
    run.publish_configuration()


@steps.register("publish-default")
def publish_default(run, statement):
    """``publish-default address.keep 3s``."""
    key, value = statement.words
    run.fleet.defaults[key] = yaml.safe_load(value)
    run.publish_configuration()


@steps.register("publish-conflict")
def publish_conflict(run, statement):
    """``publish-conflict address.keep 3s 4s``: two operators at once."""
    key, *values = statement.words
    documents = []
    for value in values:
        document = copy.deepcopy(run.fleet.configuration())
        document["defaults"][key] = yaml.safe_load(value)
        documents.append(document)
    run.publish_together(documents)


@steps.register("publish-invalid")
def publish_invalid(run, statement):
    """``publish-invalid``: publish a configuration that must be refused."""
    document = copy.deepcopy(run.fleet.configuration())
    document["defaults"] = {"no.such.key": 1}
    run.fleet.publish("configuration", document)


@steps.register("publish-hosts")
def publish_hosts(run, statement):
    """``publish-hosts leaving=3 absent=4-5``."""
    leaving = parse_numbers(statement.options.get("leaving", "") or "900")
    absent = parse_numbers(statement.options.get("absent", "") or "900")
    run.fleet.publish("hosts", run.fleet.host_list(leaving, absent))


@steps.register("service")
def change_service(run, statement):
    """``service down``, ``service stale hosts=3``, ``service normal``."""
    state = statement.words[0]
    hosts = statement.options.get("hosts")
    numbers = None if hosts is None else select_hosts(run, hosts)
    run.change_service(state, numbers, statement.options)


@steps.register("behave")
def behave(run, statement):
    """``behave targets 0-2 work_s=0.1``: change how targets behave."""
    values = {name: read_value(text) for name, text in statement.options.items()}
    if "fault" in values:
        fault = {"name": values.pop("fault"), "rate": values.pop("rate", 1.0)}
        if "methods" in values:
            fault["methods"] = values.pop("methods").split(",")
        if "at" in values:
            fault["at"] = values.pop("at")
        values["faults"] = [fault]
    for number in select_targets(run, statement.words[1]):
        run.fleet.change_target(number, **values)


@steps.register("turn-cold")
def turn_cold(run, statement):
    """``turn-cold targets 2 cold_s=5 new_start=no reports_cold=yes``."""
    options = dict(statement.options)
    flags = {
        name: options.pop(name, "yes") == "yes"
        for name in ("new_start", "reports_cold")
    }
    for number in select_targets(run, statement.words[1]):
        if options:
            values = {name: read_value(text) for name, text in options.items()}
            run.fleet.change_target(number, **values)
        run.fleet.change_target(number, page="turn", **flags)


def read_value(text):
    """Return a number, a flag or a text."""
    if text in ("yes", "no"):
        return text == "yes"
    for convert in (int, float):
        try:
            return convert(text)
        except ValueError:
            pass
    return text


def split_groups(words):
    """Return the words on both sides of ``from``."""
    if "from" not in words:
        raise ScenarioError("a link is written GROUP from GROUP")
    index = words.index("from")
    return words[:index], words[index + 1 :]


@steps.register("cut")
def cut(run, statement):
    """``cut hosts 0-3 from hosts 4-12``; with ``way=out`` only towards it."""
    left, right = split_groups(statement.words)
    way = statement.options.get("way", "both")
    set_links(run, left, right, forward=way == "in", backward=way == "out")
    if left[0] in ("host", "hosts") and right[0] in ("host", "hosts"):
        # Hosts open connections to each other from both sides.
        set_links(run, right, left, forward=way == "out", backward=way == "in")


@steps.register("delay")
def delay(run, statement):
    """``delay hosts all from targets all by=8ms``."""
    left, right = split_groups(statement.words)
    set_links(run, left, right, delay=parse_duration(statement.options["by"]))


def set_links(run, left, right, **values):
    """Change all links from one group to another."""
    for source in find_addresses(run, left):
        for destination in find_addresses(run, right):
            if source != destination:
                run.fleet.command_links(
                    do="set", source=source, destination=destination, **values
                )


@steps.register("heal")
def heal(run, statement):
    """``heal``: open all links."""
    run.fleet.command_links(do="heal")


@steps.register("traffic")
def start_traffic(run, statement):
    """``traffic reads GET /fault-desk/reports/* rate=100 hosts=0-3``."""
    name, method, path = statement.words
    options = statement.options
    read_rate = options.get("read_rate")
    deadline = options.get("deadline")
    run.callers[name] = Caller(
        run.fleet,
        name,
        method,
        path,
        float(options["rate"]),
        select_hosts(run, options.get("hosts", EVERY)),
        seed=run.seed,
        threads=int(options.get("threads", "16")),
        body=b"x" * int(options.get("body", "0")),
        move_on=options.get("move_on") == "yes",
        deadline=parse_duration(deadline) if deadline else None,
        read_rate=float(read_rate) if read_rate else None,
    )


@steps.register("stop-traffic")
def stop_traffic(run, statement):
    """``stop-traffic reads``: send nothing more and wait for the rest."""
    names = statement.words or tuple(run.callers)
    for name in names:
        run.callers[name].stop()
    for name in names:
        if not run.callers[name].join():
            run.problems.append(f"traffic {name} did not end")


@steps.register("await-configuration")
def await_configuration(run, statement):
    """``await-configuration within=4s hosts=all from=mark``: newest in force."""
    hosts = select_hosts(run, statement.options.get("hosts", EVERY))
    within = parse_duration(statement.options["within"])
    moment = statement.options.get("from")
    since = run.marks[moment] if moment else run.published_at
    late = run.await_revision(hosts, since + within)
    if late:
        run.problems.append(f"{statement}: not in force at hosts {late}")


@steps.register("await-same-configuration")
def await_same_configuration(run, statement):
    """``await-same-configuration within=4s``: one digest at all hosts."""
    end = run.published_at + parse_duration(statement.options["within"])
    found = run.read_configurations()
    while len(found) > 1 and time.time() < end:
        time.sleep(0.02)
        found = run.read_configurations()
    if len(found) > 1:
        run.problems.append(f"{statement}: {sorted(found, key=str)}")


@steps.register("await-exit")
def await_exit(run, statement):
    """``await-exit host 3 within=30s``: the process ends with code 0."""
    within = parse_duration(statement.options["within"])
    for process in find_processes(run, statement.words):
        try:
            code = process.wait(within)
        except Exception as error:  # A process that hangs is a failed check.
            run.problems.append(f"{statement}: {error}")
            continue
        if code != 0:
            run.problems.append(f"{statement}: exit code {code}")


@steps.register("await-warm")
def await_warm(run, statement):
    """``await-warm targets 0-3 within=10s``: targets work in all their slots."""
    within = parse_duration(statement.options["within"])
    end = time.time() + within
    left = select_targets(run, statement.words[1])
    while left and time.time() < end:
        left = [n for n in left if not run.is_busy(n)]
        time.sleep(0.05)
    if left:
        run.problems.append(f"{statement}: targets {left} did not get warm")
