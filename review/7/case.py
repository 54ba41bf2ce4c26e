"""A waiting watch of the store is cut, and a server leaves without reporting it."""

import itertools
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig2

BUDGET_MS = 1000
TIMEOUT_S = 1.0
GOAL_S = 0.25
WORK_S = 0.01
SERVERS = 8
# Bounds of the small deployments.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# The entry is removed this long after the watch was cut.
REMOVAL_DELAY_S = 0.1
# The server goes on serving for this long after its entry was removed.
SERVES_ON_S = 5.0
REQUESTERS = 3
PAUSE_S = 0.02
ROUNDS = 5


class LeavingServer(rig2.Server):
    """Server that notes when its requests arrive."""

    def __init__(self, number, record):
        super().__init__(f"i-{number}", record)
        self.arrivals = []

    def work(self, request_id, method, path, body):
        with self.lock:
            self.arrivals.append((time.monotonic(), request_id))
        time.sleep(WORK_S)
        return 200, request_id.encode()


def request_until(stopping, name, address, record, statuses):
    """Send idempotent requests one after the other on a kept connection."""
    sock = None
    for count in itertools.count():
        if stopping.is_set():
            return
        request_id = f"{name}-{count}"
        try:
            if sock is None:
                sock = socket.create_connection(address, 1)
                sock.settimeout(BUDGET_MS / 1000 + 1)
                reader = rig2.Reader(sock)
            sock.sendall(rig2.render_request("GET", "/find/1", request_id, BUDGET_MS))
            status, fields, _ = reader.read_answer()
            if fields.get("connection") == "close":
                sock = None
        except (OSError, rig2.AnswerCut):
            status, sock = None, None
        statuses.append(status)
        record.note(f"requester: {request_id} answered {status}")
        stopping.wait(PAUSE_S)


def play(record, store):
    """Return the verdict."""
    servers = [LeavingServer(number, record) for number in range(SERVERS)]
    for server in servers:
        store.put(f"servers/{server.id}", server.entry())
    route = rig2.describe_route("/find/", "idempotent", TIMEOUT_S, GOAL_S)
    store.put("op/config", rig2.describe_configuration(1, [route]))
    stopping, statuses, late = threading.Event(), [], []
    fleet = rig2.start_fleet(store)
    try:
        for entry in fleet:
            for number in range(REQUESTERS):
                name = f"to-{entry.ip}-{number}"
                arguments = (stopping, name, entry.address, record, statuses)
                threading.Thread(
                    target=request_until, args=arguments, daemon=True
                ).start()
        for number in range(ROUNDS):
            # All machines are in touch: nothing has happened for longer than this.
            time.sleep(STABLE_WINDOW_S + 1.0)
            late += play_round(record, store, servers[number])
        if any(entry.process.poll() is not None for entry in fleet):
            raise rig2.CouldNotRun("an entry process ended")
    finally:
        stopping.set()
        rig2.close_fleet(fleet)
    if statuses.count(200) < 0.9 * len(statuses):
        raise rig2.CouldNotRun("over a tenth of the requests was not served")
    beyond = sum(seconds > STABLE_WINDOW_S for seconds in late)
    print(f"{len(late)} requests reached a server over drain_s after its removal")
    print(f"{beyond} of them over stable_window_s after the watch was cut")
    return rig2.BROKEN if late else rig2.HELD


def play_round(record, store, leaving):
    """Remove a server's entry after a watch was cut.

    Returns the times since the cut at which late requests reached the server.
    """
    cut_at = time.monotonic()
    if rig2.TROUBLE:
        count = store.cut_watches()
        record.note(f"{count} waiting watches are cut")
        if not count:
            raise rig2.CouldNotRun("no watch was waiting")
    time.sleep(REMOVAL_DELAY_S)
    store.delete(f"servers/{leaving.id}")
    removed_at = time.monotonic()
    record.note(f"the removal of {leaving.id} is acknowledged")
    time.sleep(SERVES_ON_S)
    late = [a for a in leaving.arrivals if a[0] > removed_at + DRAIN_S]
    for moment, request_id in late:
        record.note(f"LATE {request_id}, {moment - removed_at:.2f} s after")
    return [moment - cut_at for moment, _ in late]


if __name__ == "__main__":
    rig2.run_case(__file__, play)
