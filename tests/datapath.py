"""A data path in one process: callers' server, targets, and proxies that cut."""

import http.client
import select
import socket
import threading
import time
from dataclasses import dataclass
from types import MappingProxyType, SimpleNamespace

from cherrypy import _cptree

from redwingspring.admission import AdmissionDirectory
from redwingspring.configuration import Configuration, Service, Target
from redwingspring.dispatch import Dispatcher
from redwingspring.forwarder import Forwarder
from redwingspring.metrics import Metrics
from redwingspring.outcomes import OutcomeRecorder
from redwingspring.policies import policies
from redwingspring.requestlog import RequestLog
from redwingspring.server import EntryServer
from redwingspring.settings import Settings
from redwingspring.standinbehaviour import TargetBehaviour
from redwingspring.standintarget import TargetStandIn
from redwingspring.targetconnection import enable_reset_on_close
from redwingspring.targets import TargetDirectory
from redwingspring.upstream import PoolDirectory

SERVICE = "desk"


@dataclass
class Cut:
    """Where a proxy ends a connection.

    Attributes
    ----------
    direction : str
        ``up`` counts bytes to the target, ``down`` those to the entry host.
    after : int
        Bytes that pass before the cut.
    kind : str
        ``rst``, ``fin`` or ``drop`` (swallow and stay open).
    """

    direction: str
    after: int
    kind: str


class CutProxy:
    """Passes TCP bytes to a target until a cut strikes, once per connection."""

    def __init__(self, target_address):
        host, port = target_address.rsplit(":", 1)
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.cut = None
        threading.Thread(target=self._accept, daemon=True).start()

    def arm(self, cut):
        """Let a cut strike on all connections, counted from here."""
        self.cut = cut

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._pump, args=(caller,), daemon=True).start()

    def _pump(self, caller):
        with socket.create_connection(self._target) as target, caller:
            for sock in (caller, target):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                _Pump(self, caller, target).run()
            except OSError:
                pass


class _Pump:
    """Passes the bytes of one connection until a cut ends it."""

    def __init__(self, proxy, caller, target):
        self.proxy = proxy
        self.routes = {caller: ("up", target), target: ("down", caller)}
        self.cut = None
        self.left = 0
        self.dropping = False

    def run(self):
        while True:
            readable, _, _ = select.select(list(self.routes), [], [], 0.02)
            if self.proxy.cut is not self.cut:
                self.cut = self.proxy.cut
                self.left = self.cut.after if self.cut else 0
                self.dropping = False
            # A cut at 0 strikes before anything is read, like a target that
            # closes an idle connection at that moment.
            if readable and self.cut and not self.left and self.strike():
                return
            for sock in readable:
                data = sock.recv(65536)
                if not data or self.forward(sock, data):
                    return

    def forward(self, sock, data):
        """Pass data on; return whether the connection ends here."""
        direction, other = self.routes[sock]
        ends = False
        if self.cut and direction == self.cut.direction and not self.dropping:
            ends = len(data) >= self.left
            data = data[: self.left]
            self.left -= len(data)
        if not self.dropping:
            other.sendall(data)
        return ends and self.strike()

    def strike(self):
        if self.cut.kind == "rst":
            for sock in self.routes:
                enable_reset_on_close(sock)
        self.dropping = self.cut.kind == "drop"
        return not self.dropping


class DataPath:
    """An entry server with its data path, and services of stand-in targets.

    Parameters
    ----------
    services : mapping of str to sequence of str
        Target addresses by service.
    defaults : dict, optional
        Configuration defaults in base units.
    settings : dict, optional
        Settings of the host that differ.
    """

    def __init__(self, services, defaults=None, **settings):
        self.metrics = Metrics(None)
        self.requests = RequestLog()
        self.directory = TargetDirectory()
        self.pools = PoolDirectory()
        self.admissions = AdmissionDirectory()
        values = {
            "target.slots": 1000,
            "target.connections": 100_000,
            "eject.failures": 1 << 30,
        }
        declared = {
            name: Service(name, tuple(Target(name, a, "akl-a") for a in addresses))
            for name, addresses in services.items()
        }
        self.directory.apply(
            Configuration(
                MappingProxyType({**values, **(defaults or {})}),
                MappingProxyType(declared),
            )
        )
        self.admissions.apply(self.directory.table)
        self.refusal = None
        self.dispatcher = Dispatcher(
            directory=self.directory,
            pools=self.pools,
            admissions=self.admissions,
            leases=SimpleNamespace(
                select=lambda *_: (), release_if_finished=lambda *_, **__: None
            ),
            membership=SimpleNamespace(check_serving=lambda: self.refusal),
            metrics=self.metrics,
            policies=policies,
            outcomes=OutcomeRecorder(self.metrics, lambda *_: None),
            data_centre="akl-a",
        )
        self.forwarder = Forwarder(
            self.directory, self.dispatcher, self.requests, self.metrics
        )
        tree = _cptree.Tree()
        tree.graft(self.forwarder, "")
        own = Settings("entry", "akl-a", "127.0.0.1:0", "", "", "key", **settings)
        self.server = EntryServer("127.0.0.1:0", tree, own, self.metrics)
        self.server.prepare()
        self.port = self.server.socket.getsockname()[1]
        threading.Thread(target=self.server.serve, daemon=True).start()

    def warm(self, start_ids):
        """Mark all targets warm; ``start_ids`` maps addresses to start ids."""
        for states in self.directory.table.services.values():
            for state in states:
                state.mark_warm(start_ids[state.target.address])

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.port), timeout=20)

    def exchange(self, raw):
        """Send raw bytes; return all responses' bytes until the end."""
        with self.connect() as sock:
            sock.sendall(raw)
            return read_all(sock)

    def close(self):
        self.server.stop()
        self.pools.retain(set())


def read_all(sock):
    """Return what arrives until the end or a reset."""
    parts = []
    try:
        while data := sock.recv(65536):
            parts.append(data)
    except ConnectionResetError:
        parts.append(b"<reset>")
    return b"".join(parts)


def read_response(sock, method):
    """Return status, headers, body and whether the response is whole."""
    response = http.client.HTTPResponse(sock, method=method)
    try:
        response.begin()
    except (OSError, http.client.HTTPException):
        return None, {}, b"", False
    headers = {name.lower(): value for name, value in response.getheaders()}
    parts = []
    try:
        # Small reads keep what arrived before a reset.
        while data := response.read1(65536):
            parts.append(data)
    except (OSError, http.client.HTTPException):
        return response.status, headers, b"".join(parts), False
    body = b"".join(parts)
    # Without a declared length, an orderly end looks whole to a caller.
    length = headers.get("content-length")
    whole = method == "HEAD" or length is None or int(length) == len(body)
    return response.status, headers, body, whole


class DataPathFixture:
    """Targets and a data path that a test tears down at its end."""

    def __init__(self, test, targets=1, defaults=None, behaviour=None, **settings):
        behaviour = behaviour or TargetBehaviour(slots=500, work_s=0.0)
        self.targets = [start_target(behaviour) for _ in range(targets)]
        self.path = DataPath(
            {SERVICE: [target.address for target in self.targets]}, defaults, **settings
        )
        self.path.warm({t.address: t.record.start_id for t in self.targets})
        test.addCleanup(self.close)

    def close(self):
        self.path.close()
        for target in self.targets:
            target.stop()

    def settle(self):
        """Wait until all requests have ended and their connections are back."""
        admission = self.path.admissions.find(SERVICE)
        assert wait_until(lambda: admission.in_flight == 0)

    def runs(self, request_id=None):
        """Return the runs of all targets, or those of one request."""
        return [
            run
            for target in self.targets
            for run in list(target.record.runs)
            if request_id in (None, run["request"])
        ]

    def send(self, method, path, body=b"", headers=()):
        """Send one request on a new connection; return the response."""
        lines = [f"{method} /{SERVICE}{path} HTTP/1.1", "Host: x", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in dict(headers).items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        with self.path.connect() as sock:
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            return read_response(sock, method)


def start_target(behaviour):
    """Start a stand-in target in a thread."""
    target = TargetStandIn("127.0.0.1:0", behaviour)
    threading.Thread(target=target.run, daemon=True).start()
    return target


def wait_until(condition, timeout=5.0):
    """Wait until a condition holds; return whether it does."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.01)
    return bool(condition())


class RawTarget:
    """A target that answers each request with what a function writes.

    Parameters
    ----------
    answer : callable
        Called with the connection, the request's head and its attempt id, once
        for each request head; the connection ends when it returns a true value.
    """

    def __init__(self, answer):
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.accepted = 0
        self.heads = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        # Unbuffered, so that the answer can read the request's body.
        stream = sock.makefile("rb", buffering=0)
        with sock, stream:
            try:
                while head := self._read_head(stream):
                    self.heads.append(head)
                    attempt = head.split(b"Attempt-Id: ")[1].split(b"\r\n")[0]
                    if self._answer(sock, head, attempt):
                        return
            except OSError:
                pass

    @staticmethod
    def _read_head(stream):
        lines = []
        while (line := stream.readline()) not in (b"\r\n", b""):
            lines.append(line)
        return b"".join(lines)


class RawFixture(DataPathFixture):
    """A data path to one raw target."""

    def __init__(self, test, answer, defaults=None, **settings):
        self.targets = []
        self.raw = RawTarget(answer)
        self.path = DataPath({SERVICE: [self.raw.address]}, defaults, **settings)
        self.path.warm({self.raw.address: ""})
        test.addCleanup(self.raw.close)
        test.addCleanup(self.close)


def answer_with(template):
    """Return an answer that writes bytes with ``ID`` as the attempt id."""
    return lambda sock, head, attempt: sock.sendall(template.replace(b"ID", attempt))
