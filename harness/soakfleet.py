"""Processes, links and stand-ins of a fault soak."""

import contextlib
import http.client
import random
import threading
import time

import yaml

from tests.standins import (
    InstanceStandIn,
    StoreStandIn,
    describe_configuration,
    find_port,
    wait_until,
)

from .fleet import allocate_network, find_relay, start_module
from .links import ANY, send_command

HOSTS = 3
TARGETS = 4
# Ids of pipelined requests begin with it. They take some time, so that several are in
# progress on a connection.
PIPELINED_PREFIX = "p"
PIPELINED_WORK_S = 0.08


class SoakTarget(InstanceStandIn):
    """A target whose answers name the request that they belong to."""

    def __init__(self, instance_id, host):
        super().__init__(instance_id, host)
        # Requests whose response this target broke off after its head.
        self.broken = set()

    def serve_request(self, handler, body):
        """Refuse some requests and copy refusals in the mode for it."""
        request_id = handler.headers["Request-Id"]
        if self.mode == "copied_refusal" and handler.owes_copy:
            self.refuse(handler, 503)
        elif self.mode == "copied_refusal" and choose(request_id, 3) == 0:
            handler.owes_copy = True
            self.arrivals.append(request_id)
            self.refuse(handler, 503)
            return
        super().serve_request(handler, body)

    def answer_normal(self, handler, request_id):
        """Answer with a body of this request only."""
        if request_id.startswith(PIPELINED_PREFIX):
            time.sleep(PIPELINED_WORK_S)
        body = make_body(request_id)
        self.send_head(handler, request_id, len(body))
        handler.wfile.write(body)

    answer_copied_refusal = answer_normal

    def answer_cut_head(self, handler, request_id):
        """Send the beginning of a head and close the connection."""
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Response-Signature: signed.{self.id}\r\n"
            f"Content-Length: {len(make_body(request_id))}\r\n\r\n"
        ).encode()
        ends = [n for n in range(1, len(head)) if head[:n].endswith(b"\r\n")]
        ends.append(1 + choose(request_id, len(head) - 1))
        handler.wfile.write(head[: ends[choose(request_id, len(ends))]])
        self.end(handler)

    def answer_endless(self, handler, request_id):
        """Send a body without end until the host closes the connection."""
        self.broken.add(request_id)
        self.send_head(handler, request_id, None)
        handler.close_connection = True
        with contextlib.suppress(OSError):
            while True:
                handler.wfile.write(b"z" * 4096)
                time.sleep(0.005)


def choose(request_id, count):
    """Return a number below a count that depends on the request alone."""
    return random.Random(request_id).randrange(count)


def make_body(request_id):
    """Return the body that belongs to a request."""
    # Parallel requests cannot share a beginning or a length by chance.
    return f"{request_id};".encode() * (1 + sum(request_id.encode()) % 400)


class SoakFleet:
    """Entry processes, links, targets and the store of one run.

    Parameters
    ----------
    folder : pathlib.Path
        Where settings and logs go.
    """

    def __init__(self, folder):
        self._exits = contextlib.ExitStack()
        self.folder = folder
        network = allocate_network()
        self.host_ips = [f"{network}.{10 + n}" for n in range(HOSTS)]
        # The relays know a way by the real IP number at its end.
        self.real_ips = [f"{network}.{50 + n}" for n in range(TARGETS + 1)]
        self.store = StoreStandIn(self.real_ips[0])
        self.targets = [
            SoakTarget(f"i-{n}", ip) for n, ip in enumerate(self.real_ips[1:])
        ]
        self.version = 1
        self.host_locks = [threading.Lock() for _ in range(HOSTS)]
        port = find_port()
        self.links = [find_relay(f"{ip}:{port}") for ip in self.real_ips]
        self._control = f"{network}.3:{port}"
        self.ports = [find_port() for _ in range(4)]
        self.addresses = [f"{ip}:{self.ports[0]}" for ip in self.host_ips]
        self.processes = [None] * HOSTS
        # Times in which a host could not answer: from, until.
        self.outages = [[] for _ in range(HOSTS)]
        # Times of planned stops: from, until.
        self.stops = [[] for _ in range(HOSTS)]
        self._lock = threading.Lock()

    def start(self):
        """Start everything and wait until all hosts serve."""
        self._exits.callback(self.store.close)
        for target, address in zip(self.targets, self.links[1:], strict=True):
            self._exits.callback(target.close)
            self.list_target(target, address)
        self.publish()
        real = [self.store.address, *(target.address for target in self.targets)]
        arguments = ["--control", self._control]
        for pair in zip(self.links, real, strict=True):
            arguments += ["--pair", "=".join(pair)]
        self._spawn("links", self._control, "harness.links", *arguments)
        wait_until(lambda: self.set_link("heal"))
        for number in range(HOSTS):
            self.start_host(number)
        for number in range(HOSTS):
            wait_until(lambda n=number: self.is_ready(n), 20)

    def close(self):
        """End all processes and stand-ins."""
        self._exits.close()

    def list_target(self, target, address, **changes):
        """Write a target's entry to the store."""
        entry = target.entry(**changes)
        self.store.put(f"servers/{target.id}", {**entry, "address": address})

    def publish(self):
        """Write the next version of the configuration."""
        self.store.put("op/config", describe_configuration(self.version))
        self.version += 1

    def start_host(self, number):
        """Start an entry process; the last one has a clock that steps."""
        settings = self._write_settings(number)
        mutation = "clock-steps" if number == HOSTS - 1 else ""
        arguments = (mutation, "entry", "--settings", str(settings))
        self.processes[number] = self._spawn(
            f"entry-{number}", self.addresses[number], "harness.mutant", *arguments
        )

    def set_link(self, do, destination=None, **state):
        """Change the way to a destination; return False if nobody listens."""
        command = {"do": do, "source": ANY, "destination": destination, **state}
        try:
            return send_command(self._control, command)
        except OSError:
            return False

    def is_ready(self, number):
        """Tell whether a host takes new connections."""
        ip = self.host_ips[number]
        connection = http.client.HTTPConnection(ip, self.ports[1], timeout=1)
        try:
            connection.request("GET", "/redwingspring/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def note_outage(self, number, since):
        """Note that a host could not answer from a time until now."""
        with self._lock:
            self.outages[number].append((since, time.monotonic()))

    def _write_settings(self, number):
        ip = self.host_ips[number]
        names = ("address", "ready_address", "directory_address", "peer_address")
        values = {
            "name": f"entry-{number}",
            "data_centre": "akl-a",
            "data_centres": {"akl-a": "aotearoa-north"},
            **{n: f"{ip}:{p}" for n, p in zip(names, self.ports, strict=False)},
            "store": self.links[0],
            "seeds": [f"{self.host_ips[0]}:{self.ports[0]}"],
            "retry_slack": 64.0,
            "probe_rate": 60.0,
            "grace": 4.0,
        }
        path = self.folder / f"entry-{number}.yaml"
        path.write_text(yaml.safe_dump(values))
        return path

    def _spawn(self, *arguments):
        process = start_module(self.folder, *arguments)
        self._exits.callback(process.kill)
        self._exits.callback(process.resume)
        return process
