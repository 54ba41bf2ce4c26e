"""Stand-ins and helpers of the scripts of the second review (cases 6 to 10).

The store, the servers and the requesters behave as the platform's pages say. A script
subclasses ``Server`` and changes only what its ``claim.txt`` names as the disruption.
"""

import base64
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parent.parent
HOST = "desk.example"
SERVICE = "desk"
RESET_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"
# A watch whose connection is closed without an answer.
CUT = "cut"
# Exit codes of a script.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READ_BYTES = 64 << 10


class CouldNotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """File ``record.txt`` beside a script: what was sent, answered and run."""

    def __init__(self, script):
        self._file = Path(script).with_name("record.txt").open("w")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def note(self, text):
        """Write one line with the time since the start."""
        with self._lock:
            seconds = time.monotonic() - self._started
            self._file.write(f"{seconds:8.3f} {text}\n")
            self._file.flush()


class Store:
    """The platform's store: range reads and watches; only a drill loses data."""

    def __init__(self):
        self._era = 1
        # While it is away, it resets every connection.
        self._is_away = False
        self._cuts = 0
        self._waiting = 0
        self._items = {}
        self._events = []
        self._revision = 1
        self._changed = threading.Condition()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def put(self, key, document):
        """Write a document; return whether the store acknowledges it."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        with self._changed:
            if self._is_away:
                return False
            self._revision += 1
            self._items[key] = {
                "key": key,
                "value": value,
                "revision": self._revision,
                "create_rev": self._revision,
                "lease": 0,
            }
            self._events.append(self._items[key])
            self._changed.notify_all()
            return True

    def delete(self, key):
        """Remove an entry if it is there."""
        with self._changed:
            if self._items.pop(key, None) is None:
                return
            self._revision += 1
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._events.append(event)
            self._changed.notify_all()

    def copy(self):
        """Return a copy of the present state."""
        with self._changed:
            return dict(self._items), self._revision, list(self._events)

    def leave(self):
        """Be away, until ``come_back``."""
        with self._changed:
            self._is_away = True
            self._changed.notify_all()

    def come_back(self, copy):
        """Come back from a copy: what was written since is lost, the era rises."""
        with self._changed:
            items, self._revision, events = copy
            self._items, self._events = dict(items), list(events)
            self._era += 1
            self._is_away = False

    def cut_watches(self):
        """Close the connections of the watches that are waiting; return their number."""
        with self._changed:
            self._cuts += 1
            self._changed.notify_all()
            return self._waiting

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            thread = threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            )
            thread.start()

    def _serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while (head := read_head(reader)) is not None:
                url = urlsplit(head[0].split()[1])
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, document, era = self._answer(url.path, query)
                if status == CUT:
                    return
                if status is None:
                    linger = RESET_ON_CLOSE
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    return
                body = json.dumps(document).encode()
                connection.sendall(
                    f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {era}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
        except OSError:
            pass
        finally:
            connection.close()

    def _answer(self, path, query):
        """Return status, document and era; without a status the store is away."""
        with self._changed:
            if self._is_away:
                return None, None, self._era
            if path.endswith("kv-range"):
                after = query.get("after", "")
                keys = sorted(k for k in self._items if k > after)
                document = {
                    "items": [self._items[k] for k in keys[:500]],
                    "has_more": len(keys) > 500,
                    "store_revision": self._revision,
                }
                return 200, document, self._era
            if not path.endswith("kv-watch"):
                return 404, {"error": "unknown"}, self._era
            return self._watch(int(query["after"]), int(query["wait_ms"]) / 1000)

    def _watch(self, after, wait_s):
        era, cuts, end = self._era, self._cuts, time.monotonic() + wait_s
        while True:
            if self._cuts != cuts:
                return CUT, None, self._era
            if self._is_away or self._era != era:
                return None, None, self._era
            if after > self._revision:
                return 410, {"error": "no such revision"}, self._era
            events = [e for e in self._events if e["revision"] > after]
            left = end - time.monotonic()
            if events or left <= 0:
                document = {"events": events, "store_revision": self._revision}
                return 200, document, self._era
            self._waiting += 1
            self._changed.wait(left)
            self._waiting -= 1


def read_head(reader):
    """Return the first line and the fields (lower-case names) of a message, or None."""
    line = reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    fields = {}
    while True:
        field = reader.readline()
        if field == b"\r\n":
            return line.decode().rstrip(), fields
        if not field.endswith(b"\r\n"):
            return None
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()


class Server:
    """A sound server: signs its answers, echoes ids, serves one request at a time."""

    def __init__(self, instance_id, record, slots=3):
        self.id = instance_id
        self.record = record
        self.slots = slots
        self.running = 0
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        # Ids of requests that ran, and of those whose whole answer was sent.
        self.ran = []
        self.answered = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, **changes):
        """Return the entry that the server writes to the store."""
        return {
            "address": self.address,
            "info": {
                "service": SERVICE,
                "config_version": "v1",
                "zone": "akl-a",
                "max_concurrency": self.slots,
            },
            "status": {"state": "ready", "sequence": 1, "warmup_left_s": 0},
            "born": self.born,
            **changes,
        }

    @property
    def load(self):
        """The header with the load."""
        return f"Server-Load: {self.running},0,{self.slots},100\r\n"

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.settimeout(10)
            thread = threading.Thread(
                target=self._run_connection, args=(connection,), daemon=True
            )
            thread.start()

    def _run_connection(self, connection):
        reader = connection.makefile("rb")
        try:
            while self._serve_one(connection, reader):
                pass
        except OSError:
            pass
        finally:
            reader.close()
            connection.close()

    def _serve_one(self, connection, reader):
        head = read_head(reader)
        if head is None:
            return False
        method, path, _ = head[0].split()
        fields = head[1]
        if path == "/health":
            connection.sendall(
                f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n{self.load}"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        body = reader.read(int(fields.get("content-length", 0)))
        request_id = fields["request-id"]
        if fields.get("target-instance") != self.id:
            connection.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        with self.lock:
            full = self.running >= self.slots
            self.running += not full
        if full:
            connection.sendall(
                f"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n{self.load}"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        self.record.note(f"server {self.id} runs {request_id} {method} {path}")
        with self.lock:
            self.ran.append(request_id)
        try:
            answer = self.work(request_id, method, path, body)
        finally:
            with self.lock:
                self.running -= 1
        return self.send_answer(connection, reader, request_id, *answer)

    def work(self, request_id, method, path, body):
        """Return status and body of the answer after the work; to be overridden."""
        return 200, request_id.encode()

    def send_answer(self, connection, reader, request_id, status, body):
        """Send the answer; return whether the connection is kept."""
        connection.sendall(self.render(request_id, status, body))
        with self.lock:
            self.answered.append(request_id)
        return True

    def render(self, request_id, status, body):
        """Return the whole answer as bytes."""
        digest = hashlib.sha256(body).hexdigest()[:16]
        return (
            f"HTTP/1.1 {status} Answer\r\nRequest-Id: {request_id}\r\n"
            f"Response-Signature: {request_id}.{status}.{digest}\r\n"
            f"{self.load}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )


def describe_configuration(version, routes, limits=None):
    """Return a configuration with one host and one service."""
    return {
        "config_version": version,
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_conns": 260,
                "warmup_s": 3.0,
                "warmup_per_s": 9.4,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
            **(limits or {}),
        },
        "virtual_hosts": [{"host": HOST, "paths": routes}],
    }


def describe_route(prefix, kind, timeout_s, target_latency_s, max_attempts=2):
    """Return one route of the service."""
    return {
        "name": f"r{prefix.strip('/')}",
        "prefix": prefix,
        "type": kind,
        "timeout_s": timeout_s,
        "target_latency_s": target_latency_s,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": max_attempts,
    }


ZONES = ("akl-a", "ham-b", "wlg-c")
SETTINGS = """\
name: "edge-{zone}-1"
data_centre: "{zone}"
data_centres:
  "akl-a": "aotearoa-north"
  "ham-b": "aotearoa-north"
  "wlg-c": "aotearoa-north"
address: "{ip}:{address}"
ready_address: "{ip}:{ready}"
directory_address: "{ip}:{directory}"
peer_address: "{ip}:{peer}"
metrics_address: "{ip}:{metrics}"
store: "{store}"
seeds: [{seeds}]
grace: 6
retry_ratio: 0.2
retry_slack: 64
retry_window: 10
probe_rate: 60
cores: 1
core_share: 0.86
link_mbit: 1000.0
"""


class Entry:
    """One entry process, started with the run line of the deploy file."""

    def __init__(self, store, ports=None, ip="127.0.0.1", zone="akl-a", seeds=()):
        self._folder = tempfile.TemporaryDirectory()
        self._path = Path(self._folder.name) / "settings.conf"
        ports = ports or find_entry_ports()
        self.ip = ip
        self.address = (ip, ports["address"])
        self._ready_port = ports["ready"]
        seeds = ", ".join(f'"{seed}:1"' for seed in seeds)
        values = {"store": store.address, "ip": ip, "zone": zone, "seeds": seeds}
        self._path.write_text(SETTINGS.format(**values, **ports))
        self._log = (Path(self._folder.name) / "log").open("w+")
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
        }
        self.process = subprocess.Popen(
            ["python3", "-m", "redwingspring.routedprocess", str(self._path)],
            cwd=REPOSITORY,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    def wait_ready(self, seconds=20):
        """Wait until the process says that it is ready."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CouldNotRun(f"the entry process ended: {self.read_log()[-800:]}")
            if self._ask_ready():
                return
            time.sleep(0.05)
        raise CouldNotRun("the entry process did not get ready")

    def _ask_ready(self):
        try:
            with socket.create_connection((self.ip, self._ready_port), 1) as sock:
                sock.sendall(
                    b"GET /redwingspring/ready HTTP/1.1\r\nHost: ready\r\n"
                    b"Connection: close\r\n\r\n"
                )
                return sock.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def read_log(self):
        """Return what the process has written."""
        self._log.flush()
        return Path(self._log.name).read_text(errors="replace")

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def close(self):
        """End the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self._log.close()
        self._folder.cleanup()


def find_entry_ports():
    """Return the ports of an entry process, the same for all of a fleet."""
    names = ("address", "ready", "directory", "peer", "metrics")
    return dict(zip(names, find_ports(len(names)), strict=True))


def start_fleet(store):
    """Start one entry process for each zone; return them once all are ready."""
    ports = find_entry_ports()
    ips = [f"127.0.0.{11 + number}" for number in range(len(ZONES))]
    fleet = []
    try:
        for ip, zone in zip(ips, ZONES, strict=True):
            fleet.append(Entry(store, ports, ip, zone, ips))
        for entry in fleet:
            entry.wait_ready()
    except CouldNotRun:
        close_fleet(fleet)
        raise
    return fleet


def close_fleet(fleet):
    """End the processes of a fleet."""
    for entry in fleet:
        entry.close()


def find_ports(count):
    """Return free ports below the range from which the kernel allocates."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(10_000, 32_000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


def render_request(method, path, request_id, budget_ms, body=b""):
    """Return a requester's request as bytes."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: {budget_ms}\r\n{length}\r\n".encode()
        + body
    )


class AnswerCut(Exception):
    """The connection ended before the answer was complete."""


class Reader:
    """Reads answers from a requester's connection."""

    def __init__(self, sock):
        self._sock = sock
        self._buffer = b""

    def read_answer(self):
        """Return status, fields and body; raise AnswerCut if it is not complete."""
        line = self._read_line()
        fields = {}
        while field := self._read_line():
            name, _, value = field.decode("latin-1").partition(":")
            fields[name.lower()] = value.strip()
        if fields.get("transfer-encoding") == "chunked":
            return int(line.split()[1]), fields, self._read_chunks()
        body = self._read_bytes(int(fields.get("content-length", 0)))
        return int(line.split()[1]), fields, body

    def _read_chunks(self):
        parts = []
        while size := int(self._read_line().split(b";")[0], 16):
            parts.append(self._read_bytes(size))
            self._read_bytes(2)
        while self._read_line():
            pass
        return b"".join(parts)

    def _read_line(self):
        while b"\r\n" not in self._buffer:
            self._receive()
        line, _, self._buffer = self._buffer.partition(b"\r\n")
        return line

    def _read_bytes(self, count):
        while len(self._buffer) < count:
            self._receive()
        data, self._buffer = self._buffer[:count], self._buffer[count:]
        return data

    def _receive(self):
        try:
            data = self._sock.recv(READ_BYTES)
        except TimeoutError as error:
            raise AnswerCut("no bytes in time") from error
        except OSError as error:
            raise AnswerCut(f"the connection broke: {error}") from error
        if not data:
            raise AnswerCut("the connection was closed")
        self._buffer += data


def run_case(script, play):
    """Run ``play(record, store)`` and exit with its verdict."""
    record = Record(script)
    record.note(f"TROUBLE={int(TROUBLE)}")
    try:
        verdict = play(record, Store())
    except CouldNotRun as error:
        record.note(f"could not run: {error}")
        print(f"could not run: {error}", file=sys.stderr)
        verdict = COULD_NOT_RUN
    except Exception as error:
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        verdict = COULD_NOT_RUN
    record.note(f"exit {verdict}")
    sys.stdout.flush()
    # The threads of the stand-ins are daemons; all processes have been ended.
    os._exit(verdict)
