"""Stand-ins and helpers for the scripts of this review; standard library only.

A case runs one event loop with a store, targets and callers, all stand-ins, and starts
the project's entry processes with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE, REGION = "ncr-tinajeros", "ncr"
HOST = "desk.example"
READS, POSTS, DOWNLOADS = "/lookup/", "/submit/", "/download/"
ORDERS, LIBRARY = "orders", "library"
# Bounds and figures of the site malabon-braille.
GRACE_S, DRAIN_S = 6, 2
# Time budget of callers, and timeout of the route of downloads.
TIME_BUDGET_S = 2.5
START_TIMEOUT_S = 30.0


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """File with what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._started = time.monotonic()

    def write(self, *words):
        """Write a line that begins with the time in seconds."""
        now = time.monotonic() - self._started
        print(f"{now:9.4f}", *words, file=self._file, flush=True)

    def close(self):
        """Close the file."""
        self._file.close()


class ConnectionEnded(Exception):
    """The peer closed the connection before a message was complete."""


async def read_head(reader):
    """Return the start line and the headers, with names in lower case."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise ConnectionEnded(f"after {len(error.partial)} bytes") from error
    except OSError as error:
        raise ConnectionEnded(type(error).__name__) from error
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while size := int(await reader.readuntil(b"\r\n"), 16):
                parts.append((await reader.readexactly(size + 2))[:-2])
            await reader.readuntil(b"\r\n")
            return b"".join(parts)
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        raise ConnectionEnded(f"within a body of {len(error.partial)}") from error
    except OSError as error:
        raise ConnectionEnded(type(error).__name__) from error


def render_response(status, headers=(), body=b""):
    """Return a whole response."""
    phrase = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone",
              421: "Misdirected Request", 500: "Internal Server Error",
              503: "Service Unavailable"}[status]  # fmt: skip
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.address = None
        self._changed = asyncio.Condition()

    async def start(self, host):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def put(self, key, document):
        """Write a document."""
        await self._write(key, {
            "key": key,
            "value": base64.b64encode(json.dumps(document).encode()).decode(),
            "create_rev": self.items.get(key, {}).get("create_rev", self.revision + 1),
            "lease": 0,
        })  # fmt: skip

    async def delete(self, key):
        """Delete a key."""
        await self._write(key, {"key": key, "deleted": True})

    async def _write(self, key, item):
        async with self._changed:
            self.revision += 1
            item["revision"] = self.revision
            self.events.append(item)
            self.items.pop(key, None)
            if "deleted" not in item:
                self.items[key] = item
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                url = urlsplit(line.split(" ")[1])
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, document = await self._answer(url.path, query)
                body = json.dumps(document).encode()
                kind = ("Content-Type", "application/json")
                writer.write(render_response(status, [kind], body))
                await writer.drain()
        except (ConnectionEnded, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        await asyncio.sleep(0.004)
        name = path.rsplit("/", 1)[-1]
        prefix, after = query.get("prefix", ""), query.get("after")
        if name == "kv-key":
            item = self.items.get(query.get("key"))
            return (404, {}) if item is None else (200, self._add_revision(item))
        if name == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix))
            items = [self.items[k] for k in keys if after is None or k > after]
            page = {"items": items[:500], "has_more": len(items) > 500}
            return 200, self._add_revision(page)
        if name != "kv-watch":
            return 404, {}
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                e
                for e in self.events
                if e["revision"] > int(after) and e["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, self._add_revision({"events": events})
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    pass

    def _add_revision(self, document):
        return {**document, "store_revision": self.revision}


class Target:
    """Server of a service, as the protocol page describes it."""

    def __init__(self, rig, instance_id, service, *, slots=6, queue=24, host="127.0.2.1"):
        self.rig = rig
        self.id = instance_id
        self.service = service
        self.slots = slots
        self.queue = queue
        self.host = host
        self.running = 0
        self.waiting = 0
        self.work_s = 0.1
        self.draining = False
        # Hooks that a case may set: whether to shed a request; what to write instead
        # of an answer.
        self.sheds = lambda line: False
        self.write_answer = self.write_whole
        self._slot_free = asyncio.Condition()

    async def start(self):
        """Listen on a free port and register in the store."""
        self._server = await asyncio.start_server(
            self._serve, self.host, 0, limit=1 << 20
        )
        self.address = f"{self.host}:{self._server.sockets[0].getsockname()[1]}"
        self.born = int(time.time() * 1000)
        await self.register()

    async def register(self, state="ready", sequence=1):
        """Write the entry of this server."""
        self.draining = state == "draining"
        await self.rig.store.put(f"servers/{self.id}", {
            "address": self.address,
            "born": self.born,
            "info": {"service": self.service, "config_version": "v1", "zone": ZONE,
                     "max_concurrency": self.slots},
            "status": {"state": state, "sequence": sequence, "warmup_left_s": 0},
        })  # fmt: skip

    @property
    def load(self):
        """Value of Server-Load."""
        return f"{self.running},{self.waiting},{self.slots},100"

    async def _serve(self, reader, writer):
        connection = {"number": next(self.rig.numbers), "target": self}
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self._answer(reader, writer, connection, line, headers, body):
                    return
        except (ConnectionEnded, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer, connection, line, headers, body):
        method, path, _ = line.split(" ")
        request_id = headers.get("request-id")
        echo = [("Request-Id", request_id)] if request_id else []
        if path == "/health":
            status = 503 if self.draining else 200
            fields = [("Instance-Id", self.id), ("Server-Load", self.load)]
            return await self.write_answer(
                writer, connection, line, request_id, render_response(status, fields)
            )
        self.rig.record.write("arrival", self.id, method, path, request_id)
        refusal = None
        if headers.get("target-instance", self.id) != self.id:
            refusal = 421, [("Not-Executed", "1"), ("Instance-Id", self.id), *echo]
        elif request_id is None:
            refusal = 400, [("Not-Executed", "1")]
        elif self.sheds(line) or (
            self.running >= self.slots and self.waiting >= self.queue
        ):
            refusal = 503, self.rig.refusal_headers(echo)
        if refusal is not None:
            self.rig.record.write("refused", self.id, request_id, refusal[0])
            return await self.write_answer(
                writer, connection, line, request_id, render_response(*refusal)
            )
        end = time.monotonic() + int(headers.get("deadline-ms", 60_000)) / 1000
        if not await self._take_slot(end):
            refusal = render_response(503, self.rig.refusal_headers(echo))
            self.rig.record.write("refused", self.id, request_id, 503)
            return await self.write_answer(writer, connection, line, request_id, refusal)
        try:
            self.rig.runs.append((request_id, self.id, method, path, body))
            self.rig.record.write("run", self.id, method, path, request_id)
            if not await self._work(reader, min(self.choose_work_s(line), end - time.monotonic())):
                self.rig.record.write("dropped", self.id, request_id)
                return False
        finally:
            await self._free_slot()
        fields = [
            *echo,
            ("Response-Signature", f"{self.id}.{request_id}"),
            ("Server-Load", self.load),
        ]
        response = render_response(200, fields, self.choose_body(line, request_id))
        self.rig.record.write("ran", self.id, request_id)
        return await self.write_answer(writer, connection, line, request_id, response)

    def choose_work_s(self, line):
        """Return how long a request runs."""
        return self.work_s * random.lognormvariate(0, 0.3)

    def choose_body(self, line, request_id):
        """Return the body of an answer."""
        return f"answer to {request_id}".encode()

    async def _work(self, reader, seconds):
        """Work; return False if the caller closed the connection meanwhile."""
        end = time.monotonic() + seconds
        while (left_s := end - time.monotonic()) > 0:
            if reader.at_eof():
                return False
            await asyncio.sleep(min(0.02, left_s))
        return True

    async def _take_slot(self, end):
        async with self._slot_free:
            self.waiting += 1
            try:
                while self.running >= self.slots:
                    left_s = end - time.monotonic()
                    if left_s <= 0:
                        return False
                    try:
                        await asyncio.wait_for(self._slot_free.wait(), left_s)
                    except TimeoutError:
                        return False
            finally:
                self.waiting -= 1
            self.running += 1
            return True

    async def _free_slot(self):
        async with self._slot_free:
            self.running -= 1
            self._slot_free.notify()

    async def write_whole(self, writer, connection, line, request_id, response):
        """Write an answer; return whether the connection stays open."""
        writer.write(response)
        await writer.drain()
        return True


def route(name, prefix, kind, service, **changes):
    """Return a route of the configuration."""
    return {"name": name, "prefix": prefix, "type": kind, "timeout_s": 1.5,
            "target_latency_s": 0.4, "priority": 1, "service": service,
            "max_attempts": 2, **changes}  # fmt: skip


def configuration(version=7, routes=None):
    """Return a configuration like that of the site malabon-braille."""
    services = [
        {"name": name, "health_path": "/health", "max_conns": 220, "protocol": "h1",
         "tls": False, "warmup_s": 3.0, "warmup_per_s": 14.0}
        for name in (ORDERS, LIBRARY)
    ]  # fmt: skip
    paths = [
        route("r-lookup", READS, "idempotent", ORDERS, timeout_s=1.2,
              target_latency_s=0.3, priority=2),
        route("r-submit", POSTS, "non_idempotent", ORDERS),
        route("r-download", DOWNLOADS, "download", LIBRARY, timeout_s=2.5, priority=2),
    ]  # fmt: skip
    limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
              "header_timeout_s": 3, "idle_timeout_s": 15}  # fmt: skip
    return {"config_version": version, "services": services, "limits": limits,
            "virtual_hosts": [{"host": HOST, "paths": routes or paths}]}  # fmt: skip


class Entry:
    """One entry process, started as the deploy file says."""

    def __init__(self, rig, number, ports):
        self.rig = rig
        self.number = number
        self.ip = f"127.0.1.{number}"
        self.name = f"edge-{ZONE}-{number}"
        self.ports = ports
        self.address = f"{self.ip}:{ports['front']}"
        self.process = None

    def write_settings(self, first_start):
        """Write the settings file with the fields of deploy/entry.yaml."""
        ip, ports = self.ip, self.ports
        lines = [
            f'name: "{self.name}"',
            f'data_centre: "{ZONE}"',
            "data_centres:",
            f'  "{ZONE}": "{REGION}"',
            f'address: "{self.address}"',
            f'ready_address: "{ip}:{ports["ready"]}"',
            f'directory_address: "{ip}:{ports["directory"]}"',
            f'peer_address: "{ip}:{ports["peer"]}"',
            f'metrics_address: "{ip}:{ports["metrics"]}"',
            f'store: "{self.rig.store.address}"',
            f'seeds: ["127.0.1.1:{ports["control"]}"]',
            f"grace: {GRACE_S}",
            "retry_ratio: 0.2",
            "retry_slack: 56",
            "retry_window: 10",
            "probe_rate: 60",
            "cores: 1",
            "core_share: 0.86",
            "link_mbit: 1000.0",
            *(["log_level: DEBUG"] if os.environ.get("KEEP_LOGS") else []),
            *(["first_start: true"] if first_start else []),
        ]
        self.settings = self.rig.folder / f"entry-{self.number}.yaml"
        self.settings.write_text("\n".join(lines) + "\n")

    async def start(self, first_start=False):
        """Start the process."""
        self.write_settings(first_start)
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = command["roles"]["entry"]["run"].split()
        words[-1] = str(self.settings)
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        self.output = self.rig.folder / f"entry-{self.number}.log"
        with self.output.open("ab") as stream:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=stream, stderr=stream
            )
        self.rig.record.write("start", self.name, "pid", self.process.pid)

    def send_signal(self, number):
        """Send a signal to the process."""
        self.rig.record.write("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        """Tell whether the process says that it is ready."""
        try:
            address = f"{self.ip}:{self.ports['ready']}"
            caller = await Caller.connect(address)
        except OSError:
            return False
        try:
            caller.write("GET", "/redwingspring/ready", "-")
            return (await caller.read())[0] == 200
        except ConnectionEnded:
            return False
        finally:
            caller.close()

    async def wait_until_ready(self):
        """Wait until the process is ready."""
        end = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > end or self.process.returncode is not None:
                raise CannotRun(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)

    async def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Caller:
    """One connection of a caller."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address, **options):
        """Open a connection."""
        host, port = address.rsplit(":", 1)
        return cls(*await asyncio.open_connection(host, int(port), **options))

    @staticmethod
    def render(method, path, request_id, body=b"", deadline_ms=2500):
        """Return the bytes of a request."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                 f"Request-Id: {request_id}", f"Deadline-Ms: {deadline_ms}"]  # fmt: skip
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join([*lines, "", ""])).encode() + body

    def write(self, *fields, **options):
        """Send a request."""
        self.writer.write(self.render(*fields, **options))

    async def read(self):
        """Return status, headers and body of the next response."""
        line, headers = await read_head(self.reader)
        body = await read_body(self.reader, headers)
        return int(line.split(" ")[1]), headers, body

    def close(self):
        """Close the connection."""
        self.writer.close()


def fill_body(request_id, size):
    """Return a body that names its request throughout."""
    return (f"{request_id} ".encode() * (size // (len(request_id) + 1) + 1))[:size]


class PipeliningCaller:
    """Caller that sends further requests on its connection before it has answers."""

    def __init__(self, rig, number, gaps_s):
        self._rig = rig
        self._number = number
        self._gaps_s = gaps_s
        self.answers = {}
        self.waiting = []
        self.sent_at = {}
        self.ended_at = None
        self.foreign = []
        self._must_stop = False

    async def run(self, address, end_at):
        """Send until the host says that it closes the connection."""
        caller = await Caller.connect(address, limit=1 << 20)
        receiving = asyncio.create_task(self._receive(caller))
        count = 0
        while not self._must_stop and time.monotonic() < end_at:
            count += 1
            request_id = f"c{self._number}-{count}"
            self._rig.record.write("sent", "GET", request_id)
            self.waiting.append(request_id)
            self.sent_at[request_id] = time.monotonic()
            caller.write("GET", f"{DOWNLOADS}{request_id}", request_id)
            await asyncio.sleep(random.uniform(*self._gaps_s))
            while len(self.waiting) >= 3 and not self._must_stop:
                await asyncio.sleep(0.005)
        await receiving
        caller.close()

    def list_cut(self):
        """Return the requests whose connection ended well before their time budget."""
        if self.ended_at is None:
            return []
        return [
            request_id
            for request_id in self.waiting
            if self.ended_at - self.sent_at[request_id] < TIME_BUDGET_S - 0.2
        ]

    async def _receive(self, caller):
        while True:
            try:
                line, headers = await read_head(caller.reader)
                if headers.get("connection", "").lower() == "close":
                    self._must_stop = True
                body = await read_body(caller.reader, headers)
            except (ConnectionEnded, OSError) as error:
                self._must_stop = True
                self.ended_at = time.monotonic()
                for request_id in self.waiting:
                    self._rig.record.write("no answer", request_id, error)
                return
            if not self.waiting:
                self._rig.record.write("UNEXPECTED", self._number, line, headers, body[:80])
                self.foreign.append((None, line))
                return
            request_id = self.waiting.pop(0)
            if headers.get("request-id", request_id) != request_id:
                self._rig.record.write("FOREIGN", request_id, line, headers)
                self.foreign.append((request_id, headers["request-id"]))
            if line.split(" ")[1] == "200" and body != fill_body(request_id, len(body)):
                self._rig.record.write("MIXED", request_id, line, headers)
                self.foreign.append((request_id, "body"))
            words = request_id, line.split(" ")[1], len(body), headers.get("connection")
            self._rig.record.write("answered", *words)
            self.answers[request_id] = int(words[1])
            if not self.waiting and self._must_stop:
                return


class Link:
    """Proxy that delays each direction, like the link between callers and hosts.

    As on the links that the pages describe, windows are small; segments are those of
    an Ethernet link, because the kernel sizes send buffers by them.
    """

    SEGMENT_BYTES = 1448
    READ_BYTES = 8 << 10
    WINDOW_BYTES = 64 << 10

    def __init__(self, address, delay_s):
        self._target = address.rsplit(":", 1)
        self._delay_s = delay_s
        self.address = None

    async def start(self, host="127.0.4.1"):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        host, port = self._target
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.SEGMENT_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.WINDOW_BYTES // 2)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
            far_reader, far_writer = await asyncio.open_connection(
                sock=sock, limit=self.READ_BYTES
            )
        except OSError:
            sock.close()
            writer.transport.abort()
            return
        await asyncio.gather(
            self._carry(reader, far_writer), self._carry(far_reader, writer)
        )
        for end in (writer, far_writer):
            end.close()

    async def _carry(self, reader, writer):
        """Deliver what arrives, and the end of the connection, after the delay."""
        queue = asyncio.Queue()
        free = asyncio.Semaphore(self.WINDOW_BYTES // self.READ_BYTES)

        async def receive():
            data = b"-"
            while data:
                await free.acquire()
                try:
                    data = await reader.read(self.READ_BYTES)
                except OSError:
                    data = None
                await queue.put((time.monotonic() + self._delay_s, data))

        task = asyncio.create_task(receive())
        try:
            while True:
                at, data = await queue.get()
                await asyncio.sleep(at - time.monotonic())
                if data is None:
                    writer.transport.abort()
                    return
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
                free.release()
        except OSError:
            return
        finally:
            task.cancel()


class Rig:
    """Store, targets and entry processes of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.numbers = iter(range(1, 1 << 40))
        self.runs = []
        self.entries = []
        self.targets = []
        self.routes = None
        self.refusal_headers = lambda echo: [("Not-Executed", "1"), *echo]

    async def start(self, entries=1):
        """Start the store and the entry processes; wait until they are ready."""
        self.store = Store()
        await self.store.start("127.0.3.1")
        await self.store.put("op/config", configuration(routes=self.routes))
        for target in self.targets:
            await target.start()
        names = ("front", "ready", "directory", "peer", "metrics", "control")
        ips = [f"127.0.1.{n}" for n in range(1, entries + 1)]
        ports = dict(zip(names, find_ports(len(names), ips), strict=True))
        self.entries = [Entry(self, n, ports) for n in range(1, entries + 1)]
        for entry in self.entries:
            await entry.start()
        for entry in self.entries:
            await entry.wait_until_ready()
        await asyncio.sleep(2.0)

    def count_runs(self):
        """Return how often each request id ran."""
        counts = {}
        for request_id, *_ in self.runs:
            counts[request_id] = counts.get(request_id, 0) + 1
        return counts

    async def end(self):
        """End all processes that were started."""
        for entry in self.entries:
            await entry.end()
        if os.environ.get("KEEP_LOGS"):
            for entry in self.entries:
                shutil.copy(entry.output, os.environ["KEEP_LOGS"])
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def find_ports(count, ips):
    """Return ports that are free on all addresses, below the ephemeral range."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(11_000, 30_000)
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


def run_case(folder, case, limit_s=110.0):
    """Run a case and exit with its result."""
    if not (ROOT / "target/deps/cheroot").is_dir():
        print("target/deps is missing: run the build line of deploy/system.toml")
        sys.exit(NOT_RUN)

    async def run():
        rig = Rig(folder)
        try:
            broken = await asyncio.wait_for(case(rig), limit_s)
        except (CannotRun, TimeoutError, OSError) as error:
            print("not run:", type(error).__name__, error)
            rig.record.write("not run", type(error).__name__, error)
            return NOT_RUN
        finally:
            await rig.end()
        return BROKEN if broken else HELD

    async def run_and_exit():
        code = await run()
        sys.stdout.flush()
        # The stand-ins still hold open connections, which need no orderly end.
        os._exit(code)

    asyncio.run(run_and_exit())
