"""Stand-ins for the store and the targets of the platform, and a host fixture."""

import base64
import contextlib
import http.client
import json
import random
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from redwingspring.routedentry import RoutedEntry
from redwingspring.routedsettings import RoutedSettings

# Below the range from which the kernel allocates ephemeral ports.
LISTEN_PORT_RANGE = (10_000, 32_000)
allocated_ports = set()

SERVICE = "desk"
READS = "/read/"
POSTS = "/post/"
HOST = "desk.example"


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        """Log nothing, because tests break connections on purpose."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def answer(self, status, document):
        text = getattr(document, "text", None)
        body = (json.dumps(document) if text is None else text).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class StoreStandIn:
    """In-memory store with range reads, watches and injected faults."""

    def __init__(self, host="127.0.0.1"):
        self.items = {}
        self.events = []
        self.revision = 1
        self.oldest_revision = 1
        self.epoch = None
        self.status = 200
        self.hangs = False
        self.delay_s = 0.0
        self.page_size = 500
        self.calls = 0
        self.range_reads = 0
        self.changed = threading.Condition()
        stand_in = self

        class Handler(_Handler):
            epoch = None

            def do_GET(self):
                stand_in.serve(self)

            def end_headers(self):
                if self.epoch is not None:
                    self.send_header("Store-Era", str(self.epoch))
                super().end_headers()

        self._server = _Server((host, 0), Handler)
        self.address = f"{host}:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()

    def put(self, key, value):
        """Store a document as JSON, or bytes unchanged."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            self.items[key] = {
                "key": key,
                "value": base64.b64encode(content).decode(),
                "revision": self.revision,
                "create_rev": self.revision,
                "lease": 0,
            }
            self._record_event(self.items[key])

    def delete(self, key):
        with self.changed:
            self.revision += 1
            del self.items[key]
            self._record_event({"key": key, "revision": self.revision, "deleted": True})

    def compact_history(self):
        with self.changed:
            self.oldest_revision = self.revision + 1
            self.events.clear()
            self.changed.notify_all()

    def copy(self):
        """Return a copy of the present state, to which the store can be rolled back."""
        with self.changed:
            return dict(self.items), self.revision

    def roll_back(self, copy):
        """Come back from a copy; everything written since then is lost."""
        with self.changed:
            self.items, self.revision = dict(copy[0]), copy[1]
            self.events = [e for e in self.events if e["revision"] <= self.revision]
            if self.epoch is not None:
                self.epoch += 1
            self.changed.notify_all()

    def _record_event(self, event):
        self.events.append(event)
        self.changed.notify_all()

    def serve(self, handler):
        self.calls += 1
        time.sleep(self.delay_s)
        if self.hangs:
            time.sleep(30)
        with self.changed:
            answer = self.respond(handler)
            handler.epoch = self.epoch
        handler.answer(*answer)

    def respond(self, handler):
        """Return status and document; their epoch is the present one."""
        if self.status != 200:
            return self.status, {"error": "no"}
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        endpoint = url.path.rsplit("/", 1)[1]
        if endpoint == "kv-range":
            return 200, self.read_range(query)
        if endpoint == "kv-watch":
            return self.read_watch(query)
        return 404, {"error": "no such endpoint"}

    def read_range(self, query):
        self.range_reads += 1
        with self.changed:
            keys = sorted(k for k in self.items if k > query.get("after", ""))
            keys_of_page = keys[: self.page_size]
            return {
                "items": [self.items[key] for key in keys_of_page],
                "has_more": len(keys) > len(keys_of_page),
                "store_revision": self.revision,
            }

    def read_watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            while True:
                if after + 1 < self.oldest_revision or after > self.revision:
                    return 410, {"error": "history lost"}
                events = [e for e in self.events if e["revision"] > after]
                remaining_s = end - time.monotonic()
                if events or remaining_s <= 0 or self.status != 200:
                    return 200, {"events": events, "store_revision": self.revision}
                self.changed.wait(remaining_s)


class SocketStandIn:
    """Server that runs ``serve`` in a thread for each connection."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def serve(self, connection):
        """Serve one connection, which is closed afterwards."""
        raise NotImplementedError

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        with connection, contextlib.suppress(OSError):
            self.serve(connection)


class InstanceStandIn:
    """Target of the platform with injected faults, selected by ``mode``."""

    def __init__(self, instance_id, host="127.0.0.1"):
        self.id = instance_id
        self.load = "0,0,3,100"
        self.warmup_ms = None
        self.draining = False
        self.probes_drain = True
        self.forget_idle_s = None
        self.retry_after = None
        self.healthy = True
        self.work_s = 0.0
        self.mode = "normal"
        self.body = b"whole body"
        self.copy_delay_s = 0.0
        self.stale_rest = "Content-Length: 5\r\n\r\nstray"
        self.runs = []
        self.refused = []
        self.copies_refused_probe = False
        self.arrivals = []
        self.probes = 0
        self.headers = []
        self.field_lines = []
        self.disconnected = threading.Event()
        stand_in = self

        class Handler(_Handler):
            def do_GET(self):
                stand_in.serve(self)

            do_POST = do_GET
            has_served = False
            owes_copy = False

            def handle_one_request(self):
                if self.has_served and stand_in.has_forgotten(self.connection):
                    self.close_connection = True
                    return
                self.has_served = True
                super().handle_one_request()

            def end_headers(self):
                is_probe = self.path == "/health"
                if stand_in.draining and stand_in.probes_drain >= is_probe:
                    self.send_header("Server-Leaving", "1")
                super().end_headers()

        self._server = _Server((host, 0), Handler)
        self.address = f"{host}:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()

    def has_forgotten(self, connection):
        """Wait for the next request; tell whether it finds the connection dropped."""
        if self.forget_idle_s is None:
            return False
        started = time.monotonic()
        with contextlib.suppress(OSError):
            connection.recv(1, socket.MSG_PEEK)
        if time.monotonic() - started <= self.forget_idle_s:
            return False
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return True

    def entry(self, **changes):
        status = {"state": "ready", "sequence": 1, "warmup_left_s": 0}
        status.update(changes.pop("status", {}))
        return {
            "address": self.address,
            "info": {
                "service": SERVICE,
                "config_version": "v1",
                "zone": "akl-a",
                "max_concurrency": 3,
            },
            "status": status,
            "born": 1000,
            **changes,
        }

    def serve(self, handler):
        if handler.path == "/health":
            self.serve_probe(handler)
            return
        if self.mode == "early":
            self.refuse_early(handler)
            return
        length = int(handler.headers.get("Content-Length", 0))
        body = handler.rfile.read(length)
        self.serve_request(handler, body)

    def refuse_early(self, handler):
        """Refuse a request after reading only its head."""
        self.arrivals.append(handler.headers["Request-Id"])
        self.refuse(handler, 503)
        handler.close_connection = True

    def serve_probe(self, handler):
        self.probes += 1
        if self.copies_refused_probe:
            handler.owes_copy = True
            self.refuse(handler, 503)
            return
        if self.mode == "probe_hang":
            time.sleep(30)
        handler.send_response(200 if self.healthy else 503)
        handler.send_header("Instance-Id", self.id)
        if self.load is not None:
            handler.send_header("Server-Load", self.load)
        if self.warmup_ms is not None:
            handler.send_header("Warmup-Ms", str(self.warmup_ms))
        handler.send_header("Content-Length", "0")
        handler.end_headers()

    def serve_request(self, handler, body):
        request_id = handler.headers["Request-Id"]
        self.arrivals.append(request_id)
        self.headers.append(dict(handler.headers.items()))
        self.field_lines.append(handler.headers.items())
        mode = self.mode
        if handler.headers.get("Target-Instance") != self.id:
            self.refuse(handler, 421)
        elif mode == "shed":
            self.refuse(handler, 503)
        elif mode == "shed_copied" and not self.refused:
            self.refused.append(request_id)
            handler.owes_copy = True
            self.refuse(handler, 503)
        else:
            if mode == "shed_copied" and handler.owes_copy:
                self.refuse(handler, 503)
            self.runs.append((request_id, handler.command, handler.path, body))
            time.sleep(self.work_s)
            getattr(self, f"answer_{mode}")(handler, request_id)

    def refuse(self, handler, status):
        handler.send_response(status)
        handler.send_header("Not-Executed", "1")
        if self.retry_after is not None:
            handler.send_header("Retry-After", self.retry_after)
        handler.send_header("Content-Length", "0")
        handler.end_headers()

    def send_head(self, handler, request_id, length, signed=True, status=200):
        handler.send_response(status)
        handler.send_header("Request-Id", request_id)
        if signed:
            handler.send_header("Response-Signature", f"signed.{self.id}")
        if length is not None:
            handler.send_header("Content-Length", str(length))
        handler.end_headers()

    def answer_normal(self, handler, request_id):
        self.send_head(handler, request_id, len(self.body))
        handler.wfile.write(self.body)

    answer_probe_hang = answer_normal
    # Refuses one request and sends a copy of the refusal before the next response.
    answer_shed_copied = answer_normal

    def answer_error(self, handler, request_id):
        self.send_head(handler, request_id, 3, status=500)
        handler.wfile.write(b"bad")

    def answer_unsigned(self, handler, request_id):
        self.send_head(handler, request_id, len(self.body), signed=False)
        handler.wfile.write(self.body)

    def answer_truncated(self, handler, request_id):
        self.send_head(handler, request_id, len(self.body) + 5)
        handler.wfile.write(self.body)
        self.end(handler)

    def answer_unframed(self, handler, request_id):
        handler.send_response(200)
        handler.send_header("Request-Id", request_id)
        handler.send_header("Response-Signature", "signed")
        handler.end_headers()
        handler.wfile.write(self.body)
        self.end(handler)

    def answer_reset(self, handler, request_id):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.end(handler)

    def answer_stale_response(self, handler, request_id):
        """Send a late response to an earlier request before the response."""
        self.send_head(handler, "earlier", 5)
        handler.wfile.write(b"stray")
        handler.wfile.flush()
        time.sleep(0.02)
        self.answer_normal(handler, request_id)

    def answer_copied(self, handler, request_id):
        """Send a second copy of each response after a delay, maybe the next one's."""
        lock = handler.__dict__.setdefault("lock", threading.Lock())
        body = request_id.encode()

        def send():
            with lock:
                self.send_head(handler, request_id, len(body))
                handler.wfile.write(body)

        def send_copy():
            time.sleep(self.copy_delay_s)
            with contextlib.suppress(OSError, ValueError):
                send()

        send()
        threading.Thread(target=send_copy, daemon=True).start()

    def answer_cut(self, handler, request_id):
        """Send a long chunked response without its end."""
        handler.send_response(200)
        handler.send_header("Request-Id", request_id)
        handler.send_header("Response-Signature", "signed")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for _ in range(20):
            handler.wfile.write(b"8000\r\n" + b"x" * 0x8000 + b"\r\n")
        self.end(handler)

    def answer_busy_after_run(self, handler, request_id):
        """Claim to be busy, without stating that the request did not run."""
        self.send_head(handler, request_id, 4, status=503)
        handler.wfile.write(b"busy")

    def answer_stale_together(self, handler, request_id):
        """Send a late response to an earlier request together with the response."""
        head = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: s\r\n"
        stale = head.format("earlier") + self.stale_rest
        own = head.format(request_id) + "Content-Length: 3\r\n\r\nown"
        handler.wfile.write((stale + own).encode())

    def answer_garbage(self, handler, request_id):
        """Send bytes that are not an HTTP response."""
        handler.wfile.write(b"\x16\x03\x01\x02\x00\x01\x00" * 9)
        self.end(handler)

    def answer_hang(self, handler, request_id):
        """Send nothing until the host closes the connection."""
        handler.connection.settimeout(5)
        with contextlib.suppress(OSError):
            if not handler.connection.recv(1):
                self.disconnected.set()
        handler.close_connection = True

    @staticmethod
    def end(handler):
        handler.wfile.flush()
        handler.close_connection = True


def describe_route(name, prefix, kind, **changes):
    return {
        "name": name,
        "prefix": prefix,
        "type": kind,
        "timeout_s": 2.0,
        "target_latency_s": 0.3,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        **changes,
    }


def describe_configuration(version=1, routes=None, **changes):
    service = {
        "name": SERVICE,
        "health_path": "/health",
        "max_conns": 260,
        "warmup_s": 3.0,
        "warmup_per_s": 9.4,
    }
    default = [
        describe_route("reads", READS, "idempotent"),
        describe_route("posts", POSTS, "non_idempotent"),
    ]
    return {
        "config_version": version,
        "services": [service],
        "virtual_hosts": [{"host": HOST, "paths": routes or default}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        **changes,
    }


def find_port(kind=socket.SOCK_STREAM):
    # The kernel could allocate an ephemeral port again, for a stand-in of another
    # test worker, before the process under test listens on it.
    while True:
        port = random.SystemRandom().randrange(*LISTEN_PORT_RANGE)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in allocated_ports:
            allocated_ports.add(port)
            return port


class HostFixture:
    """Host, store and targets, all in the test process."""

    def __init__(self, test, instances=2, configuration=None, epoch=None, **settings):
        self.store = StoreStandIn()
        self.store.epoch = epoch
        test.addCleanup(self.store.close)
        self.instances = [InstanceStandIn(f"i-{n}") for n in range(instances)]
        for instance in self.instances:
            test.addCleanup(instance.close)
            self.list_instance(instance)
        self.store.put("op/config", configuration or describe_configuration())
        values = {
            "name": "edge-akl-a-1",
            "data_centre": "akl-a",
            "data_centres": {"akl-a": "aotearoa-north"},
            "address": f"127.0.0.1:{find_port()}",
            "ready_address": f"127.0.0.1:{find_port()}",
            "directory_address": f"127.0.0.1:{find_port()}",
            "peer_address": f"127.0.0.1:{find_port()}",
            "metrics_address": f"127.0.0.1:{find_port()}",
            "store": self.store.address,
            "retry_slack": 64.0,
            **settings,
        }
        self.settings = RoutedSettings(**values)
        self.start(test)
        wait_until(lambda: self.entry.is_ready)
        wait_until(lambda: len(self.entry.directory.list_ids()) >= len(self.instances))

    def start(self, test):
        """Start the host, or start it again after ``entry.close``."""
        self.entry = RoutedEntry(self.settings)
        test.addCleanup(self.entry.close)
        self.entry.start()

    def list_instance(self, instance, **changes):
        self.store.put(f"servers/{instance.id}", instance.entry(**changes))

    def connect(self):
        return Caller(self.entry.settings.address)

    def ask(self, method="GET", path=READS + "1", **options):
        caller = self.connect()
        try:
            return caller.ask(method, path, **options)
        finally:
            caller.close()

    def fetch(self, address, path):
        host, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    @property
    def runs(self):
        return [run for instance in self.instances for run in instance.runs]


class Caller:
    """Caller that uses one connection."""

    request_numbers = iter(range(1, 1 << 30))

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.connection = http.client.HTTPConnection(host, int(port), timeout=10)

    def ask(self, method, path, body=None, deadline_ms=2000, **headers):
        request_id = f"r{next(self.request_numbers)}"
        fields = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            **headers,
        }
        self.connection.request(method, path, body=body, headers=fields)
        response = self.connection.getresponse()
        received = {name.lower(): value for name, value in response.getheaders()}
        return response.status, received, response.read()

    def send(self, data):
        """Send raw bytes."""
        if self.connection.sock is None:
            self.connection.connect()
        self.connection.sock.sendall(data)

    def close(self):
        self.connection.close()


def render_request(method, path, request_id, deadline_ms=2000):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\n\r\n"
    ).encode()


def wait_until(predicate, timeout_s=10.0):
    end = time.monotonic() + timeout_s
    while not predicate():
        if time.monotonic() > end:
            raise AssertionError("the condition was not met in time")
        time.sleep(0.01)
