"""Troubles of a fault soak: each begins, lasts for a while and ends."""

import contextlib
import re
import signal
import time
from pathlib import Path

from redwingspring.registry import Registry
from tests.standins import wait_until

from .fleet import Process
from .soakfleet import HOSTS

# Kinds of planned work, around which no accepted request may be lost.
PLANNED = ("drain", "publish", "reload")
# Longer than the grace of a host.
DRAIN_S = 5.0

troubles = Registry("trouble")


def stop_and_start(fleet, number, seconds, end):
    """End a host in some way and start it again after a while."""
    if not fleet.host_locks[number].acquire(blocking=False):
        return
    try:
        since = time.monotonic()
        end(fleet.processes[number])
        time.sleep(seconds)
        fleet.processes[number].kill()
        fleet.start_host(number)
        with contextlib.suppress(AssertionError):
            wait_until(lambda: fleet.is_ready(number), 15)
        fleet.note_outage(number, since)
    finally:
        fleet.host_locks[number].release()


def handles_signal(process, number):
    """Tell whether a process has a handler for a signal."""
    try:
        status = Path(f"/proc/{process.popen.pid}/status").read_text()
    except OSError:
        return False
    caught = re.search(r"SigCgt:\s*(\w+)", status)
    return bool(caught and int(caught[1], 16) >> (number - 1) & 1)


@troubles.register("kill")
def kill_host(fleet, rng, seconds):
    """Kill a host; its connections are reset."""
    stop_and_start(fleet, rng.randrange(HOSTS), seconds, Process.kill)


@troubles.register("drain")
def drain_host(fleet, rng, seconds):
    """Shut a host down gracefully, then start it again."""
    number = rng.randrange(HOSTS)
    since = time.monotonic()
    stop_and_start(fleet, number, DRAIN_S, Process.terminate)
    fleet.stops[number].append((since, time.monotonic()))


@troubles.register("pause")
def pause_host(fleet, rng, seconds):
    """Stop a host for a while without a sign."""
    number = rng.randrange(HOSTS)
    since, process = time.monotonic(), fleet.processes[number]
    process.freeze()
    time.sleep(seconds)
    process.resume()
    fleet.note_outage(number, since)


@troubles.register("reload")
def reload_hosts(fleet, rng, seconds):
    """Let all hosts read their settings again."""
    for process in fleet.processes:
        # The interpreter itself does not hold signals while it loads.
        if handles_signal(process, signal.SIGHUP):
            process.send(signal.SIGHUP)


@troubles.register("link")
def break_link(fleet, rng, seconds):
    """Cut, delay or reset the way to a target or the store."""
    destination = rng.choice(fleet.real_ips)
    state = rng.choice(
        ({"forward": False}, {"backward": False}, {"delay": 0.05}, {"reset": True})
    )
    fleet.set_link("set", destination, **state)
    time.sleep(seconds)
    fleet.set_link("set", destination)


@troubles.register("store")
def break_store(fleet, rng, seconds):
    """Let the store fail or lose its history."""
    if rng.random() < 0.3:
        fleet.store.compact_history()
        return
    fleet.store.status = rng.choice((503, 429))
    time.sleep(seconds)
    fleet.store.status = 200


@troubles.register("publish")
def publish_often(fleet, rng, seconds):
    """Write configurations in quick succession."""
    for _ in range(5):
        fleet.publish()
        time.sleep(seconds / 10)


@troubles.register("target")
def mislead(fleet, rng, seconds):
    """Let a target fail in one of its ways."""
    target = rng.choice(fleet.targets)
    modes = (
        "shed",
        "error",
        "truncated",
        "reset",
        "garbage",
        "hang",
        "stale_response",
        "unsigned",
        "cut_head",
        "copied_refusal",
        "endless",
    )
    target.mode = rng.choice(modes)
    time.sleep(seconds)
    target.mode = "normal"


@troubles.register("reuse")
def reuse_address(fleet, rng, seconds):
    """Give a target's address to another instance for a while."""
    target = rng.choice(fleet.targets)
    known = target.id
    target.id = f"{known}-other"
    time.sleep(seconds)
    target.id = known


@troubles.register("ill")
def say_ill(fleet, rng, seconds):
    """Let a target's health page refuse while its requests go well."""
    target = rng.choice(fleet.targets)
    target.healthy = False
    time.sleep(seconds)
    target.healthy = True
